"""Values from outside that are valid for a parser and useless to the program.

Every decoder returns a value within its bounds or refuses with its one error.
An exception of another kind leaves the loop that reads the store, or the
request that met it.
"""

import copy
import json
import math

import pytest

from magnoliacrank.platform import backend_wire
from magnoliacrank.platform import directory_wire
from magnoliacrank.platform import operator_wire
from magnoliacrank.platform import request_wire
from magnoliacrank.platform import settings_file
from magnoliacrank.platform import store_client
from magnoliacrank.platform import wire_values

ODD_DOCUMENTS = [
    pytest.param(b"", id="empty"),
    pytest.param(b"[" * 4000, id="deep-list"),
    pytest.param(b'{"a":' * 4000, id="deep-mapping"),
    pytest.param(b'{"address":' + b"[" * 4000, id="deep-field"),
    pytest.param(b"9" * 4000, id="long-integer"),
    pytest.param(b"9" * 5000, id="longer-integer"),
    pytest.param(b"1e400", id="large-exponent"),
    pytest.param(b"NaN", id="nan"),
    pytest.param(b"\xff\xfe\x00", id="no-utf-8"),
    pytest.param(b'"\\ud800"', id="lone-surrogate"),
    pytest.param(b"null", id="null"),
    pytest.param(b"[]", id="list"),
    pytest.param(b'"text"', id="string"),
]

ODD_NUMBERS = [
    "²",
    "٣",
    "9" * 400,
    "9" * 5000,
    "-1",
    "+1",
    "1e400",
    "inf",
    "nan",
    " ",
    "0x10",
    "1_0",
    "1.5.5",
]

ENTRY = {
    "address": "10.128.0.9:8080",
    "born": 1767225600000,
    "info": {"service": "svc", "version": "v1", "zone": "a", "slots": 4},
    "status": {"state": "ready", "seq": 4, "warmup-left": "1500ms"},
}


def _short(value):
    """Returns the id of a parameter; none for one that is too long."""
    text = str(value)
    return text if len(text) <= 24 else f"{text[:12]}-{len(text)}"


def _encode(document):
    return json.dumps(document).encode()


@pytest.mark.parametrize("value", ODD_DOCUMENTS)
@pytest.mark.parametrize(
    "decode",
    [
        lambda value: backend_wire.decode_entry("i-1", value),
        lambda value: operator_wire.decode_rollout("svc", value),
        lambda value: operator_wire.decode_rollout_status("svc", value),
        operator_wire.decode_configuration,
    ],
    ids=["entry", "rollout", "status", "configuration"],
)
def test_odd_document_is_refused(decode, value):
    with pytest.raises(wire_values.WireValueError):
        decode(value)


@pytest.mark.parametrize(
    "port", [*ODD_NUMBERS, "0", "65536", "99999", "080800"], ids=_short
)
def test_odd_port_is_refused(port):
    document = {**ENTRY, "address": f"10.128.0.9:{port}"}
    with pytest.raises(wire_values.WireValueError):
        backend_wire.decode_entry("i-1", _encode(document))


@pytest.mark.parametrize(
    "host",
    ["", "a" * 64, "a." * 127 + "a", "10.0.0.1\r\nX", "²", "a b", "a..b"],
)
def test_odd_host_is_refused(host):
    with pytest.raises(wire_values.WireValueError):
        wire_values.parse_address(f"{host}:80", "address")


@pytest.mark.parametrize(
    ("table", "field", "value"),
    [
        ("info", "slots", 1 << 17),
        ("info", "slots", int("9" * 100)),
        ("info", "slots", 4.0),
        ("info", "slots", -1),
        ("status", "seq", int("9" * 4000)),
        ("status", "warmup-left", "9" * 400 + "s"),
        ("status", "warmup-left", "٣s"),
        ("status", "warmup-left", "-1s"),
        ("status", "warmup-left", "nans"),
    ],
    ids=_short,
)
def test_odd_field_of_an_entry_is_refused(table, field, value):
    document = copy.deepcopy(ENTRY)
    document[table][field] = value
    with pytest.raises(wire_values.WireValueError):
        backend_wire.decode_entry("i-1", _encode(document))


@pytest.mark.parametrize("born", ["1", 1.5, -1, 0, None, True, 10**300, []])
def test_odd_start_of_a_server_is_refused(born):
    with pytest.raises(wire_values.WireValueError):
        backend_wire.decode_entry("i-1", _encode({**ENTRY, "born": born}))


@pytest.mark.parametrize("figure", [*ODD_NUMBERS, "1000000000"], ids=_short)
@pytest.mark.parametrize("place", range(4))
def test_odd_load_is_not_a_figure(figure, place):
    """Guards also against a load that hides that the service states loads."""
    figures = ["1", "1", "6", "100"]
    figures[place] = figure
    headers = {"Server-Load": ",".join(figures)}
    report = backend_wire.decode_health(200, headers)
    assert not report.tells_load
    assert report.has_load
    assert report.slowdown == 1.0


@pytest.mark.parametrize("load", ["1,1,6,0", "1,1,6,999999999", "1,1,99999"])
def test_load_out_of_bounds_is_not_a_figure(load):
    assert backend_wire.decode_load(load) == (0, 0, 0, 1.0)


def test_health_without_a_load_states_none():
    assert not backend_wire.decode_health(200, {}).has_load


@pytest.mark.parametrize(
    "text", [*ODD_NUMBERS, "", "-5s", "9999999999s"], ids=_short
)
def test_odd_warmup_counts_as_cold_for_a_second(text):
    report = backend_wire.decode_health(200, {"Warmup-Remaining": text})
    assert report.cold_s == 1.0


@pytest.mark.parametrize("text", ODD_NUMBERS, ids=_short)
def test_odd_header_of_a_request_or_answer_is_not_stated(text):
    assert request_wire.read_deadline_s({"Request-Deadline": text}) is None
    keep_alive = {"Keep-Alive": f"timeout={text}, max=5"}
    assert request_wire.read_keep_alive_s(keep_alive) is None


@pytest.mark.parametrize(
    "data",
    [
        *ODD_DOCUMENTS,
        b'{"items":[{"key":"a","value":"AA==","offset":1e400}],"end":1}',
        b'{"items":[{"key":"a","value":"AA==","offset":-1}],"end":1}',
        b'{"items":[{"key":"a","value":7,"offset":1}],"end":1}',
        b'{"items":[{"key":"a","value":"\xc3\xa9","offset":1}],"end":1}',
        b'{"items":[{"key":7,"value":"AA==","offset":1}],"end":1}',
        b'{"items":[7],"end":1}',
        b'{"items":[],"end":"1"}',
        b'{"items":[],"has-more":true,"end":1}',
    ],
)
async def test_odd_answer_of_the_store_is_a_failure(data, monkeypatch):
    client = store_client.StoreClient("http://127.0.0.1:1")

    async def call(*_):
        return store_client._Answer(data, era=0)

    monkeypatch.setattr(client, "_call", call)
    for result in (
        await client.newest("keyed.op", 1.0),
        await client.append("keyed.op", "a", b"b", 1.0),
        await client.read("keyed.op", 0, 0.0, 1.0),
    ):
        assert isinstance(result, store_client.StoreFailure)
        assert result.kind is store_client.StoreFailureKind.MALFORMED


@pytest.mark.parametrize(
    "query",
    ["?zone=%ff", "?zone=%", "?" + "&" * 5000, "?zone=a" * 1000, "?%00=%00"],
)
def test_odd_lookup_names_a_place(query):
    assert isinstance(directory_wire.read_data_centre("/x" + query), str)
    assert isinstance(directory_wire.read_host("/x" + query), str)


SETTINGS = """
node: front-1
ip: 10.1.0.35
zone: a
listen: {front: "10.1.0.35:8144", ready: "10.1.0.35:8140"}
internal-ports: [7660, 7675]
platform: {address: "10.200.1.7:8142"}
heartbeat: 1500ms
"""


@pytest.mark.parametrize(
    "text",
    [
        "[" * 4000,
        "{a: " * 4000,
        "a: 2001-99-99",
        "a: " + "9" * 5000,
        SETTINGS.replace("7660", "99999"),
        SETTINGS.replace("7660", "true"),
        SETTINGS.replace("1500ms", "9" * 400 + "ms"),
        SETTINGS + "bounds: {exposure-share: .nan}",
        SETTINGS + "bounds: {exposure-slack: .inf}",
        SETTINGS + "limits: {memory-mb: .inf}",
        SETTINGS + "limits: {memory-mb: 1e400}",
    ],
)
def test_odd_settings_are_refused(text, tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text(text)
    with pytest.raises(settings_file.SettingsFileError):
        settings_file.load(str(path))


@pytest.mark.parametrize("value", [math.nan, math.inf, -math.inf, 2.0**60])
def test_number_out_of_bounds_is_refused(value):
    with pytest.raises(wire_values.WireValueError):
        wire_values.read_number({"weight": value}, "weight")
