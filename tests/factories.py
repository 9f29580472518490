"""Values and drivers shared by several tests."""

from mangotrail._bundle import (
    AccountSpec,
    Bundle,
    LimitSpec,
    RackSpec,
    ServiceSpec,
    ZoneSpec,
)
from mangotrail._messages import (
    AnnounceEndpoint,
    Command,
    CommandBody,
    GrantJob,
    JobReply,
    JobShape,
    JobSpec,
    JobView,
    MemberPlacement,
    Placement,
    RollOutBundle,
    SignBundle,
    SubmitJob,
    WriteBundle,
)
from mangotrail.ids import (
    AccountId,
    EndpointId,
    InstanceId,
    JobId,
    OperationId,
    RegionId,
    RequestId,
    ServiceId,
    WorkerId,
    ZoneId,
)
from mangotrail.state import CommandResult, State

ACCOUNT = AccountId('renders')
INSTANCE = InstanceId('entry-1')
ZONE = ZoneId('north')
ENDPOINT = EndpointId('planner-1')
SERVICE = ServiceId('box-planner')


def make_bundle(*, weight: int = 1) -> Bundle:
    """Return a bundle with one zone; the weight tells bundles apart."""
    rack = RackSpec(rack='r1', workers=(WorkerId('w1'), WorkerId('w2')))
    return Bundle(
        schema_version=1,
        services=(ServiceSpec(service=SERVICE),),
        zones=(
            ZoneSpec(
                zone=ZONE,
                region=RegionId('coast'),
                platform_url='http://127.0.0.1:1',
                racks=(rack,),
            ),
        ),
        accounts=(AccountSpec(account=ACCOUNT, weight=weight),),
        limits=LimitSpec(),
    )


def make_spec(request: str = 'r1', *, idempotent: bool = True) -> JobSpec:
    """Return the spec of a job with one member and one accelerator."""
    return JobSpec(
        account=ACCOUNT,
        request=RequestId(request),
        service=SERVICE,
        shape=JobShape(),
        created_at_s=1000,
        idempotent=idempotent,
        payload='boxes',
    )


class StateDriver:
    """Applies commands to a state, one second apart."""

    def __init__(self) -> None:
        self.state = State()
        self.time_s = 1000.0

    def apply(self, body: CommandBody) -> CommandResult:
        """Apply one command."""
        self.time_s += 1
        command = Command(time_s=self.time_s, body=body)
        return self.state.apply(self.state.index + 1, command)

    def job(self, body: CommandBody) -> JobView:
        """Apply a command on a job and return the view of the job."""
        result = self.apply(body)
        assert isinstance(result, JobReply), result
        return result.view

    def write(
        self, bundle: Bundle, parent: int, operation: str
    ) -> CommandResult:
        """Write a bundle with the given parent version."""
        known = self.state.bundles.get(parent)
        return self.apply(
            WriteBundle(
                operation=OperationId(operation),
                operator='ayla',
                parent_version=parent,
                parent_digest=known.digest if known else '',
                bundle=bundle,
            )
        )

    def put_in_force(self, bundle: Bundle) -> None:
        """Write, sign and roll out a bundle."""
        version = self.state.newest_version() + 1
        self.write(bundle, version - 1, f'write-{version}')
        self.step(SignBundle, version)
        self.step(RollOutBundle, version)

    def step(
        self, command: type[SignBundle | RollOutBundle], version: int
    ) -> CommandResult:
        """Sign or roll out a version."""
        return self.apply(
            command(
                operation=OperationId(f'{command.__name__}-{version}'),
                operator='ayla',
                version=version,
                digest=self.state.bundles[version].digest,
            )
        )

    def announce(
        self, generation: int = 1, service: ServiceId = SERVICE
    ) -> CommandResult:
        """Announce the endpoint."""
        return self.apply(
            AnnounceEndpoint(
                endpoint=ENDPOINT,
                generation=generation,
                service=service,
                zone=ZONE,
                url='http://127.0.0.1:2',
            )
        )

    def submit(self, spec: JobSpec) -> JobView:
        """Submit a request."""
        return self.job(SubmitJob(job_spec=spec, origin=INSTANCE))

    def grant(self, job: JobId, attempt: int = 1) -> CommandResult:
        """Grant an attempt on the first worker."""
        member = MemberPlacement(worker=WorkerId('w1'), accelerators=(0,))
        return self.apply(
            GrantJob(
                job=job,
                attempt=attempt,
                dispatcher=INSTANCE,
                placement=Placement(
                    zone=ZONE,
                    members=(member,),
                    endpoint=ENDPOINT,
                    endpoint_url='http://127.0.0.1:2',
                    platform_url='http://127.0.0.1:1',
                ),
            )
        )


def ready_driver() -> StateDriver:
    """Return a driver with a bundle in force and an endpoint."""
    driver = StateDriver()
    driver.put_in_force(make_bundle())
    driver.announce()
    return driver
