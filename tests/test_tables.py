"""Guards against tables that cut digests or emit control characters."""

from mangotrail.tables import format_table


class TestTables:
    """Plain text tables."""

    def test_format(self) -> None:
        """Control characters from callers must not reach the terminal."""
        shape = {'level': 'rack', 'accelerators': 4, 'count': 2}
        rows = [{'a': '\x1b[2J', 'b': True}, {'b': 1.5, 'c_d': [1, shape]}]
        assert format_table(rows).splitlines() == [
            'A     B    C D',
            '?[2J  yes  -',
            '-     1.5  1, rack/4/2',
        ]

    def test_whole_digest(self) -> None:
        """Digests must be complete, because operators copy them."""
        digest = 'd' * 64
        row = {'digest': digest, 'written_s': 86400.5, 'in_force_s': 0}
        head, line = format_table([row]).splitlines()
        assert head.split() == [
            'DIGEST',
            'WRITTEN',
            '(UTC)',
            'IN',
            'FORCE',
            '(UTC)',
        ]
        assert line.split() == [digest, '1970-01-02', '00:00:00', '-']
