"""Guards against forked, lost or forgotten log entries and double leaders."""

from tests.simulation import Simulation


class TestGroup:
    """A group without faults."""

    def test_first_leader(self) -> None:
        """A group that needs longer than 4 s to start misses its promise."""
        group = Simulation(1)
        group.run_until(group.is_whole, 4)

    def test_commands(self) -> None:
        """A command that reaches only some members would fork the state."""
        group = Simulation(2)
        group.run_until(group.is_whole, 4)
        for number in range(20):
            assert group.propose(str(number).encode())
        group.settle()
        assert len(group.reference) == 21
