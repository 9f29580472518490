"""Subcommands that run a process or look at the files of one instance."""

import sys
from collections.abc import Coroutine, Sequence
from errno import EADDRINUSE, EADDRNOTAVAIL
from importlib import import_module
from importlib.util import find_spec
from pathlib import Path
from typing import Any

from absl import flags

from mangotrail._settings import Settings
from mangotrail.commands import Command, ExitCode, print_json
from mangotrail.errors import SettingsError
from mangotrail.settings import load_credentials, load_settings, own_peer

LISTEN_ERRORS = frozenset((EADDRINUSE, EADDRNOTAVAIL))


class SettingsCommand(Command):
    """A command that works on one settings file."""

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define ``--settings``."""
        flags.DEFINE_string(
            'settings',
            None,
            'Settings file of the instance.',
            required=True,
            flag_values=values,
        )


class ControlCommand(SettingsCommand):
    """Runs the control process."""

    name = 'control'
    summary = 'Runs the control process of this instance.'
    examples = ('control --settings /etc/mangotrail/settings.json',)

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Run until the process is told to stop."""
        omit_openssl()
        return _run_process(values, 'control')


class GatewayCommand(SettingsCommand):
    """Runs the gateway process."""

    name = 'gateway'
    summary = 'Runs the gateway process of this instance.'
    examples = ('gateway --settings /etc/mangotrail/settings.json',)

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Run until the process is told to stop."""
        return _run_process(values, 'gateway')


class FormatCommand(SettingsCommand):
    """Writes the identity of a data folder."""

    name = 'format'
    summary = (
        'Writes a new identity into the empty data folder of this instance. '
        'Use --founding once, on the instances with disks of a new deployment.'
    )
    examples = (
        'format --founding --settings /etc/mangotrail/settings.json',
        'format --settings /etc/mangotrail/settings.json',
    )

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define ``--founding``."""
        super().define_flags(values)
        flags.DEFINE_boolean(
            'founding',
            False,
            'The instance is a voter of a new deployment.',
            flag_values=values,
        )

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Format the data folder."""
        settings = load_settings(values.settings)
        if settings.data_folder is None:
            raise SettingsError(
                'This instance has no disk, so there is nothing to format.',
                field='data_folder',
                value=None,
                allowed='a folder',
                remedy='Run format on the instances with disks only.',
            )
        format_folder(settings, founding=values.founding)
        print(f'Formatted {settings.data_folder}.')
        return ExitCode.DONE


class CheckSettingsCommand(SettingsCommand):
    """Checks settings and credentials."""

    name = 'check-settings'
    summary = 'Checks the settings and the credentials that they name.'
    examples = ('check-settings --settings /etc/mangotrail/settings.json',)

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Print what the settings say about this instance."""
        settings = load_settings(values.settings)
        credentials = load_credentials(settings.credentials_file)
        report = {
            'deployment': settings.deployment,
            'instance': settings.instance,
            'zone': own_peer(settings).zone,
            'has_disk': own_peer(settings).has_disk,
            'instances': len(settings.peers),
            'disks': sum(peer.has_disk for peer in settings.peers),
            'operators': len(credentials.operators),
            'accounts': len(credentials.accounts),
            'services': len(credentials.services),
        }
        if values.json:
            print_json(report)
        else:
            for name, value in report.items():
                print(f'{name}: {value}')
            print('Settings and credentials are valid.')
        return ExitCode.DONE


def format_folder(settings: Settings, *, founding: bool) -> None:
    """Write the identity of the data folder.

    :raises SettingsError: if the folder already has an identity.
    :raises StorageError: if the folder cannot be written.
    """
    # Imported here so that other commands do not load the agreement.
    from mangotrail.journal import fresh_identity, write_identity
    from mangotrail.membership import founding_identity

    make_identity = founding_identity if founding else fresh_identity
    identity = make_identity(
        deployment=settings.deployment, instance=settings.instance
    )
    write_identity(Path(settings.data_folder or ''), identity)


def omit_openssl() -> None:
    """Keep OpenSSL out of this process, which has no TLS.

    It took 5 MB of a leader's 36 MB, and a control process may have 32 MB. A
    module that is None cannot be imported; asyncio and hashlib then do
    without it.
    """
    omitted: dict[str, Any] = {'ssl': None}
    # Some builds of Python have SHA-256 in OpenSSL only.
    if find_spec('_sha256') or find_spec('_sha2'):
        omitted['_hashlib'] = None
    sys.modules.update(omitted)


def run_coroutine(running: Coroutine[Any, Any, None]) -> None:
    """Run a process until it ends."""
    # Imported here so that omit_openssl comes first.
    import asyncio

    asyncio.run(running)


def _run_process(values: flags.FlagValues, process: str) -> int:
    settings = load_settings(values.settings)
    credentials = load_credentials(settings.credentials_file)
    # loguru imports asyncio, which imports OpenSSL unless it is omitted.
    from mangotrail.logs import configure_logs

    configure_logs(settings.log, settings.instance, process)
    # Imported here so that a control process never loads the HTTP server.
    module = import_module(f'mangotrail.{process}')
    try:
        run_coroutine(getattr(module, f'run_{process}')(settings, credentials))
    except Exception as failure:
        # Errors of pyzmq have a number too, but are no OSError.
        if getattr(failure, 'errno', None) not in LISTEN_ERRORS:
            raise
        raise SettingsError(
            'The process cannot listen on an address of its settings.',
            field='peers' if process == 'gateway' else 'peers, gateway_link',
            value=failure,
            allowed='free ports of addresses of this instance',
            remedy='End the process that uses the port or correct the address.',
        ) from failure
    return ExitCode.DONE
