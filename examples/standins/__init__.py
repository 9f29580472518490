"""Stand-ins for the platform and for endpoints, for the demo and the tests."""
