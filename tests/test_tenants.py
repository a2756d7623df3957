"""Keys of tenants, from the configuration to the upstream."""

import functools

import anyio
import pytest
from rattangauge_platform import configuration

from rattangauge import errors
from rattangauge.calls import identity
from rattangauge.config import check
from rattangauge.config import delta
from rattangauge.config import objects as objects_module
from rattangauge.config import tenants
from rattangauge.generated import errorcodes
from rattangauge.generated import objects as generated
from standins import appworker
from standins import configurations
from tests import builders
from tests import meshes

OPEN = meshes.path("/open/", "skladby") | {"auth-exempt": True}
TRACK = meshes.path("/track/", "skladby")
CHOIR = {"name": "choir", "api-keys": ["k1", "k2"], "priority": 1}
SCHOOL = {"name": "school", "api-keys": ["k3"]}


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


def _objects(*items):
    objects = builders.object_set()
    objects["tenant"] = {item.name: item for item in items}
    return objects


def _publish(mesh, *specs, paths=(TRACK, OPEN)):
    mesh.version += 1
    spec = meshes.configuration(mesh.version, list(paths), ("skladby",))
    mesh.store.put("config", "main", spec | {"tenants": list(specs)})


async def _start(mesh, *names):
    _publish(mesh, CHOIR, SCHOOL)
    for name in names:
        await mesh.add(name)
    await mesh.wait_ready()
    await mesh.send_heartbeats()


def _arrived(mesh):
    return [r for i in mesh.instances.values() for r in i.upstream.arrived]


def test_a_key_is_found_and_others_are_not():
    """Guards against a request that runs with an unknown key."""
    choir = generated.Tenant("choir", ("k1", "k2"))
    table = tenants.compile_tenants(_objects(choir))
    assert identity.identify(table, b"bearer k2", False).tenant == choir
    for value in (b"", b"k1", b"Basic k1", b"Bearer k9", b"Bearer"):
        assert not identity.identify(table, value, False).is_accepted
        assert identity.identify(table, value, True).tenant is None


def test_without_tenants_no_key_is_needed():
    """Guards against 401 on deployments that have no tenants."""
    table = tenants.compile_tenants(builders.object_set())
    assert identity.identify(table, b"Bearer x", False).is_accepted


def test_a_key_of_two_tenants_is_a_finding_that_hides_it():
    """Guards against keys that name either tenant, and keys in logs."""
    objects = _objects(
        generated.Tenant("choir", ("secret-1",)),
        generated.Tenant("school", ("other", "secret-1")),
    )
    (finding,) = check.check_objects(objects)
    assert finding.place == "tenant school"
    assert finding.field == "keys[1]"
    assert finding.code == errorcodes.OBJECT_AMBIGUOUS
    assert "secret-1" not in str(finding)


@pytest.mark.parametrize(
    "fields",
    [
        {"name": "choir", "api-keys": "secret"},
        {"name": "choir", "api-keys": {"secret": 1}},
        {"name": "choir", "api-keys": [["secret"]]},
        {"name": "choir", "api-keys": [73523]},
        {"name": "choir", "api-keys": ["secret "]},
        {"name": "", "api-keys": ["secret"]},
        {"name": "choir\r\nhost: x", "api-keys": ["secret"]},
        {"name": "choir\ud800", "api-keys": ["secret"]},
    ],
)
def test_a_wrong_tenant_is_refused_without_its_key(fields):
    """Guards against keys of one letter, and against keys in errors.

    The name of a tenant becomes a header of the requests of its callers.
    """
    spec = configurations.configuration(1, [TRACK], ("skladby",))
    with pytest.raises(errors.CodedError) as raised:
        configuration.Converter().convert(spec | {"tenants": [fields]})
    assert "secret" not in str(raised.value)
    assert "73523" not in str(raised.value)


def test_findings_of_published_tenants_show_no_key():
    """Guards against keys in the findings of a daemon or an operator."""
    table = {"name": "choir", "keys": ["secret", 1]}
    (finding,) = objects_module.read_tables({"tenant": [table]}, "f").findings
    assert finding.field == "keys"
    assert "secret" not in str(finding)


def test_one_key_of_many_arrives_as_a_difference():
    """Guards against a table of 10,000 keys that is sent as a whole."""
    many = [
        generated.Tenant(f"t{n}", tuple(f"k{n}-{m}" for m in range(100)))
        for n in range(100)
    ]
    base = builders.edition(1, _objects(*many))
    many[7] = many[7]._replace(keys=(*many[7].keys, "new"))
    target = builders.edition(2, _objects(*many))
    data = delta.encode_delta(base, target)
    assert len(data) < len(target.data) / 20


async def test_the_upstream_gets_the_tenant_and_never_the_key():
    """Guards against keys that reach the upstream, and forged tenants."""
    async with meshes.running() as mesh:
        await _start(mesh, "a", "b")
        mesh.instances["a"].node._local_upstream._queue.close()
        sent = {"authorization": "Bearer k1", "tenant_id": "school"}
        assert (await mesh.call("a", "/track/1", **sent))[0] == 200
        (request,) = _arrived(mesh)
        assert request.header(b"tenant-id") == b"choir"
        assert not request.header(b"authorization")
        await mesh.call("a", "/open/1", tenant_id="school")
        assert not _arrived(mesh)[-1].header(b"tenant-id")
        for instance in mesh.instances.values():
            instance.log.flush()
            assert b"k1" not in instance.log_bytes


async def test_no_spelling_of_a_header_passes_a_key_or_a_tenant():
    """Guards against upstreams that take '_' and '-' in names as the same."""
    lines = (
        b"GET /track/1 HTTP/1.1",
        b"host: " + meshes.HOST.encode(),
        b"AUTHORIZATION: Bearer k1",
        b"Authorization: Bearer k3",
        b"Proxy-Authorization: Bearer k1",
        b"Tenant_Id: school",
        b"TENANT-ID: school",
        b"connection: tenant-id",
    )
    async with meshes.running() as mesh:
        await _start(mesh, "a")
        caller = await mesh.connect("a")
        await caller._stream.send(b"\r\n".join((*lines, b"", b"")))
        await _wait_until_running(mesh, 1)
        (request,) = _arrived(mesh)
        assert not [v for _name, v in request.headers if b"Bearer" in v]
        names = [n.replace(b"_", b"-") for n, _value in request.headers]
        assert names.count(b"tenant-id") == 1
        assert request.header(b"tenant-id") == b"choir"


async def test_unknown_and_missing_keys_get_401():
    """Guards against requests that run without a key."""
    async with meshes.running() as mesh:
        await _start(mesh, "a")
        for fields in ({}, {"authorization": "Bearer k9"}):
            assert (await mesh.call("a", "/track/1", **fields))[0] == 401
        status, *_ = await mesh.call("a", "/track/1", request_id="old.1")
        assert status == 503
        assert not _arrived(mesh)


async def test_a_call_of_the_upstream_has_the_tenant_of_its_request():
    """Guards against calls between services that are rejected."""
    async with meshes.running() as mesh:
        await _start(mesh, "a", "b")

        async def call_on(request):
            name = request.header(b"request-id").decode()
            if "." not in name:
                status, *_ = await mesh.call(
                    "a", "/track/2", request_id=f"{name}.1"
                )
                return appworker.sealed(request, str(status).encode())
            return appworker.sealed(request)

        for instance in mesh.instances.values():
            instance.upstream.behaviour = call_on
        mesh.instances["b"].node._local_upstream._queue.close()
        sent = {"authorization": "Bearer k3"}
        _status, _headers, body = await mesh.call("a", "/track/1", **sent)
        assert body == b"200"
        assert _arrived(mesh)[-1].header(b"tenant-id") == b"school"


async def _wait_until_running(mesh, count):
    async def is_running():
        return len(_arrived(mesh)) >= count

    await mesh.wait(is_running)


async def test_a_key_goes_before_the_id_of_a_running_request():
    """Guards against callers that take the place of another's upstream."""
    async with meshes.running() as mesh:
        await _start(mesh, "a")

        async def work(request):
            await anyio.sleep(0.3)
            return appworker.sealed(request)

        mesh.instances["a"].upstream.behaviour = work
        async with anyio.create_task_group() as tasks:
            for name in ("", "first"):
                sent = {"authorization": "Bearer k1", "request_id": name}
                tasks.start_soon(
                    functools.partial(mesh.call, "a", "/track/1", **sent)
                )
            await _wait_until_running(mesh, 2)
            # A request without an id is the parent of no other.
            assert (await mesh.call("a", "/track/2"))[0] == 401
            revoked = {"authorization": "Bearer k9", "request_id": "first.1"}
            assert (await mesh.call("a", "/track/2", **revoked))[0] == 401
            school = revoked | {"authorization": "Bearer k3"}
            assert (await mesh.call("a", "/track/2", **school))[0] == 200
        assert _arrived(mesh)[-1].header(b"tenant-id") == b"school"


async def test_revoked_and_added_keys_bind_with_the_version():
    """Guards against a revoked key that runs on."""
    async with meshes.running() as mesh:
        await _start(mesh, "a")
        _publish(mesh, CHOIR | {"api-keys": ["k2", "k4"]}, SCHOOL)

        async def is_applied():
            node = mesh.instances["a"].node
            return node._config_sync.version == mesh.version

        await mesh.wait(is_applied)
        statuses = [
            (await mesh.call("a", "/track/1", authorization=f"Bearer {k}"))[0]
            for k in ("k1", "k2", "k4")
        ]
        assert statuses == [401, 200, 200]
