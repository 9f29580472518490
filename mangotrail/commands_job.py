"""Subcommands of callers: jobs."""

import sys
import time
import uuid
from collections.abc import Sequence
from pathlib import Path

import msgspec
from absl import flags

from mangotrail._messages import (
    GangLevel,
    JobShape,
    JobSpec,
    JobState,
    JobView,
    Outcome,
    View,
)
from mangotrail.commands import ExitCode, UsageError, print_json
from mangotrail.commands_remote import ListCommand, RemoteCommand, make_client
from mangotrail.documents import read_document
from mangotrail.errors import InvalidInputError
from mangotrail.ids import AccountId, RequestId, ServiceId
from mangotrail.tables import format_table

JOB_COLUMNS = ('request', 'state', 'outcome', 'ran', 'attempt', 'zone')


class JobCommand(RemoteCommand):
    """A command with the credential of a client account."""

    holder = 'account'
    role = 'accounts'


class RequestCommand(JobCommand):
    """A command on one request of the account."""

    arguments = ('REQUEST',)


class SubmitJobCommand(JobCommand):
    """Submits a job."""

    name = 'job submit'
    summary = (
        'Submits a job. Sending it again with the printed --request and '
        '--created_at joins the first one instead of running it twice.'
    )
    examples = (
        'job submit --service cart-desk --accelerators 2 --payload plan.json',
        'job submit --service cart-desk --members 4 --level rack --wait_s 60',
        'job submit --service cart-desk --noidempotent --payload order.json',
    )

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags of the job."""
        super().define_flags(values)
        _define_string_flags(values)
        _define_number_flags(values)
        flags.DEFINE_enum(
            'level',
            GangLevel.ZONE.value,
            [level.value for level in GangLevel],
            'Part of the topology that must hold the whole gang.',
            flag_values=values,
        )
        for name, default, meaning in (
            ('urgent', False, 'Start before all jobs that are not urgent.'),
            ('idempotent', True, 'The job may run more than once.'),
            ('preemptible', True, 'The job may be stopped and run again.'),
        ):
            flags.DEFINE_boolean(name, default, meaning, flag_values=values)

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Submit the job and wait if asked to."""
        client, account = make_client(self, values)
        spec = _job_spec(values, AccountId(account))
        again = f'--request {spec.request} --created_at {spec.created_at_s}'
        sys.stderr.write(f'to send again: {again}\n')
        view = client.submit_job(spec, again=bool(values.request))
        if values.wait_s and view.state is not JobState.FINISHED:
            view = client.wait_job(
                spec.account, spec.request, wait_s=values.wait_s
            )
        return _print_job(view, values, waited=bool(values.wait_s))


class ShowJobCommand(RequestCommand):
    """Shows a job."""

    name = 'job show'
    summary = 'Prints the state of a job.'
    examples = ('job show 5e0c...',)

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Print the job."""
        client, account = make_client(self, values)
        view = client.read_job(AccountId(account), RequestId(arguments[0]))
        return _print_job(view, values, waited=False)


class WaitJobCommand(RequestCommand):
    """Waits for the end of a job."""

    name = 'job wait'
    summary = 'Waits for the end of a job and prints it.'
    examples = ('job wait 5e0c... --wait_s 3600',)

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define ``--wait_s``."""
        super().define_flags(values)
        _define_wait_flag(values, 60)

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Wait and print the job."""
        client, account = make_client(self, values)
        view = client.wait_job(
            AccountId(account), RequestId(arguments[0]), wait_s=values.wait_s
        )
        return _print_job(view, values, waited=True)


class CancelJobCommand(RequestCommand):
    """Cancels a job."""

    name = 'job cancel'
    summary = 'Cancels a job; the reply says whether any part ran.'
    examples = ('job cancel 5e0c...',)

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Cancel the job and print it."""
        client, account = make_client(self, values)
        view = client.cancel_job(AccountId(account), RequestId(arguments[0]))
        return _print_job(view, values, waited=False)


class ListJobsCommand(ListCommand):
    """Lists the jobs of all accounts."""

    name = 'job list'
    summary = 'Lists the jobs of all accounts; needs an operator.'
    examples = ('job list', 'job list --json')
    view = View.JOBS


def _define_string_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        'service',
        None,
        'Service that answers the job.',
        required=True,
        flag_values=values,
    )
    for name, default, meaning in (
        ('payload', None, 'File with the payload in UTF-8.'),
        (
            'request',
            None,
            'Request id; a new one by default. It may have been sent before, '
            'so a refusal then does not claim that nothing ran.',
        ),
        ('job_kind', 'default', 'Jobs of one kind share learned run times.'),
    ):
        flags.DEFINE_string(name, default, meaning, flag_values=values)


def _define_number_flags(values: flags.FlagValues) -> None:
    for name, default, meaning, bounds in (
        ('members', 1, 'Members of the gang.', (1, 64)),
        ('accelerators', 1, 'Accelerators of each member.', (0, 64)),
    ):
        flags.DEFINE_integer(
            name, default, meaning, *bounds, flag_values=values
        )
    for name, meaning in (
        ('created_at', 'Time of creation in seconds since the epoch.'),
        ('deadline_s', 'Seconds until the answer is no longer needed.'),
        ('declared_runtime_s', 'Expected run time in seconds.'),
    ):
        flags.DEFINE_float(name, None, meaning, 0, flag_values=values)
    _define_wait_flag(values, 0)


def _define_wait_flag(values: flags.FlagValues, default: float) -> None:
    flags.DEFINE_float(
        'wait_s',
        default,
        'Seconds to wait for the end of the job.',
        0,
        604800,
        flag_values=values,
    )


def _job_spec(values: flags.FlagValues, account: AccountId) -> JobSpec:
    payload = ''
    if values.payload:
        content = read_document(Path(values.payload), error=InvalidInputError)
        try:
            payload = content.decode()
        except UnicodeDecodeError as failure:
            raise UsageError(f'--payload is not UTF-8: {failure}') from failure
    created_at = values.created_at
    spec = JobSpec(
        account=account,
        request=RequestId(values.request or str(uuid.uuid4())),
        service=ServiceId(values.service),
        shape=JobShape(
            members=values.members,
            accelerators=values.accelerators,
            level=GangLevel(values.level),
        ),
        created_at_s=time.time() if created_at is None else created_at,
        job_kind=values.job_kind,
        urgent=values.urgent,
        idempotent=values.idempotent,
        preemptible=values.preemptible,
        declared_runtime_s=values.declared_runtime_s or 0,
        deadline_s=values.deadline_s,
        payload=payload,
    )
    try:
        # Constructors do not check bounds; a conversion does.
        return msgspec.convert(msgspec.to_builtins(spec), JobSpec)
    except msgspec.ValidationError as failure:
        raise UsageError(str(failure)) from failure


def _print_job(view: JobView, values: flags.FlagValues, *, waited: bool) -> int:
    if values.json:
        print_json(view)
    else:
        row = msgspec.to_builtins(view)
        print(format_table([{name: row[name] for name in JOB_COLUMNS}]))
        if view.reason:
            print(f'reason: {view.reason}')
        if view.answer is not None:
            print(view.answer.decode(errors='replace'))
        elif view.answer_bytes:
            print(f'answer: {view.answer_bytes} bytes, kept by {view.holder}')
    if view.state is not JobState.FINISHED:
        return ExitCode.IN_PROGRESS if waited else ExitCode.DONE
    answered = view.outcome is Outcome.ANSWERED
    return ExitCode.DONE if answered else ExitCode.NO_ANSWER
