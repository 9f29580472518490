"""Commands for the development of mangotrail."""
