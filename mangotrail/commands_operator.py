"""Subcommands of operators: bundles, zones, members and dumps."""

from abc import abstractmethod
from collections.abc import Sequence
from pathlib import Path

from absl import flags

from mangotrail._messages import Accepted, View, ZoneState
from mangotrail.bundle import bundle_digest, load_bundle
from mangotrail.client import Client
from mangotrail.commands import ExitCode, UsageError, print_json
from mangotrail.commands_remote import (
    ListCommand,
    OperationCommand,
    RemoteCommand,
    begin_operation,
    make_client,
    parse_version,
    print_accepted,
)
from mangotrail.errors import UnknownObjectError
from mangotrail.ids import OperationId, ZoneId

DEFAULT_DEADLINE_S = 30.0


class WriteBundleCommand(OperationCommand):
    """Writes a bundle version."""

    name = 'bundle write'
    summary = (
        'Checks a bundle file and writes it as the successor of the version '
        'it was edited from. It is refused if another version came first.'
    )
    arguments = ('FILE',)
    examples = (
        'bundle write --parent_version 0 examples/bundles/mokoena.json',
        'bundle write --parent_version 3 --parent_digest 5d41... bundle.json',
    )

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags of the parent."""
        super().define_flags(values)
        flags.DEFINE_integer(
            'parent_version',
            None,
            'Version that the file was edited from, 0 for the first bundle.',
            0,
            required=True,
            flag_values=values,
        )
        flags.DEFINE_string(
            'parent_digest',
            '',
            'Digest of that version as shown by bundle list.',
            flag_values=values,
        )

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Write the bundle."""
        if bool(values.parent_version) != bool(values.parent_digest):
            raise UsageError(
                '--parent_digest must be set unless --parent_version is 0'
            )
        bundle = load_bundle(Path(arguments[0]))
        client, _operator = make_client(self, values)
        accepted = client.write_bundle(
            bundle,
            operation=begin_operation(values),
            parent_version=values.parent_version,
            parent_digest=values.parent_digest,
        )
        print_accepted(accepted, values)
        return ExitCode.DONE


class ReviewedBundleCommand(OperationCommand):
    """A command on a written version that the operator has reviewed."""

    arguments = ('VERSION',)

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags of the reviewed content."""
        super().define_flags(values)
        flags.DEFINE_string(
            'digest', None, 'Digest of the version.', flag_values=values
        )
        flags.DEFINE_string(
            'file',
            None,
            'Reviewed bundle file, to compute the digest from.',
            flag_values=values,
        )

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Act on the version."""
        version = parse_version(arguments[0])
        if bool(values.digest) == bool(values.file):
            raise UsageError('one of --digest and --file must be set')
        digest = values.digest or bundle_digest(load_bundle(values.file))
        client, _operator = make_client(self, values)
        accepted = self.send_request(
            client, version, digest, begin_operation(values)
        )
        print_accepted(accepted, values)
        return ExitCode.DONE

    @abstractmethod
    def send_request(
        self, client: Client, version: int, digest: str, operation: OperationId
    ) -> Accepted:
        """Send the command."""


class SignBundleCommand(ReviewedBundleCommand):
    """Signs off a bundle version."""

    name = 'bundle sign'
    summary = 'Signs off a written bundle version after its review.'
    examples = (
        'bundle sign 4 --file bundle.json',
        'bundle sign 4 --digest 5d41...',
    )

    def send_request(
        self, client: Client, version: int, digest: str, operation: OperationId
    ) -> Accepted:
        """Send the command."""
        return client.sign_bundle(version, digest=digest, operation=operation)


class RollOutBundleCommand(ReviewedBundleCommand):
    """Rolls out a bundle version."""

    name = 'bundle rollout'
    summary = 'Puts a signed bundle version in force.'
    examples = ('bundle rollout 4 --digest 5d41...',)

    def send_request(
        self, client: Client, version: int, digest: str, operation: OperationId
    ) -> Accepted:
        """Send the command."""
        return client.roll_out_bundle(
            version, digest=digest, operation=operation
        )


class ListBundlesCommand(ListCommand):
    """Lists bundle versions."""

    name = 'bundle list'
    summary = 'Lists the bundle versions and their states.'
    examples = ('bundle list', 'bundle list --json')
    view = View.BUNDLES


class ShowBundleCommand(RemoteCommand):
    """Shows a bundle version."""

    name = 'bundle show'
    summary = 'Prints one bundle version as JSON.'
    arguments = ('VERSION',)
    examples = ('bundle show 4',)

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Print the version."""
        version = parse_version(arguments[0])
        client, _operator = make_client(self, values)
        entries = client.list_view(View.BUNDLES)
        for entry in entries:
            if entry.get('version') == version:
                print_json(entry)
                return ExitCode.DONE
        known = [str(entry.get('version')) for entry in entries]
        raise UnknownObjectError(
            f'There is no bundle version {version}.',
            field='version',
            value=version,
            allowed=', '.join(known) or 'none yet',
            remedy='Name a version of bundle list.',
        )


class SetZoneCommand(OperationCommand):
    """Sets the state of a zone."""

    arguments = ('ZONE',)
    state: ZoneState

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define ``--deadline_s``."""
        super().define_flags(values)
        if self.state is not ZoneState.IN:
            flags.DEFINE_float(
                'deadline_s',
                DEFAULT_DEADLINE_S,
                'Seconds until running work there must have stopped.',
                0,
                86400,
                flag_values=values,
            )

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Set the state."""
        client, _operator = make_client(self, values)
        leaving = self.state is not ZoneState.IN
        accepted = client.set_zone(
            ZoneId(arguments[0]),
            self.state,
            operation=begin_operation(values),
            deadline_s=values.deadline_s if leaving else 0,
        )
        print_accepted(accepted, values)
        return ExitCode.DONE


class ZoneOutCommand(SetZoneCommand):
    """Takes a zone out of service."""

    name = 'zone out'
    summary = (
        'Takes an availability zone out of service. No task starts there any '
        'more; running work is checkpointed and stopped by the deadline.'
    )
    examples = ('zone out umhlanga-shed --deadline_s 600',)
    state = ZoneState.OUT


class ZoneDrainCommand(SetZoneCommand):
    """Drains a zone."""

    name = 'zone drain'
    summary = (
        'Stops new work in an availability zone ahead of taking it out; '
        'running work may end until the deadline.'
    )
    examples = ('zone drain umhlanga-shed --deadline_s 3600',)
    state = ZoneState.DRAINING


class ZoneInCommand(SetZoneCommand):
    """Brings a zone back."""

    name = 'zone in'
    summary = 'Brings an availability zone back into service.'
    examples = ('zone in umhlanga-shed',)
    state = ZoneState.IN


class ListZonesCommand(ListCommand):
    """Lists zones."""

    name = 'zone list'
    summary = 'Lists the availability zones and their states.'
    examples = ('zone list',)
    view = View.ZONES


class ListAccountsCommand(ListCommand):
    """Lists client accounts."""

    name = 'account list'
    summary = 'Lists the client accounts with guarantees and use.'
    examples = ('account list', 'account list --json')
    view = View.ACCOUNTS


class ListMembersCommand(ListCommand):
    """Lists members of the agreement group."""

    name = 'member list'
    summary = 'Lists the members of the agreement group.'
    examples = ('member list',)
    view = View.MEMBERS


class ListVersionsCommand(ListCommand):
    """Lists the version in force at each instance."""

    name = 'version list'
    summary = 'Lists the bundle version that each instance has in force.'
    examples = ('version list',)
    view = View.VERSIONS


class DumpCommand(RemoteCommand):
    """Dumps the state of a process."""

    name = 'dump'
    summary = 'Prints the state of a process as JSON, for fault reports.'
    examples = ('dump --process control', 'dump --process gateway')

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define ``--process``."""
        super().define_flags(values)
        flags.DEFINE_enum(
            'process',
            'control',
            ['control', 'gateway'],
            'Process of the instance that answers.',
            flag_values=values,
        )

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Print the state."""
        client, _operator = make_client(self, values)
        print_json(client.dump(values.process))
        return ExitCode.DONE
