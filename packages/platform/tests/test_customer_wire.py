"""Tests of customers in the operators' configuration, and of their API keys."""

import copy

from multidict import CIMultiDict
from multidict import CIMultiDictProxy
import pytest

from magnoliacrank.platform import customer_wire
from magnoliacrank.platform import operator_wire
from magnoliacrank.platform import request_wire
from magnoliacrank.platform import store_records
from magnoliacrank.platform import wire_values

SECRET = "rjvz48wuakn2ftimaj3n"
TENANTS = [
    {"name": "huka", "api-keys": [SECRET, "second"], "priority": 1},
    {"name": "puhu", "api-keys": ["third"]},
    {"name": "none", "api-keys": []},
]


@pytest.mark.parametrize(
    ("key", "name", "priority"),
    [
        (SECRET, "huka", 1),
        ("second", "huka", 1),
        ("third", "puhu", None),
        ("fourth", None, None),
        ("", None, None),
    ],
)
def test_key_names_its_customer(key, name, priority):
    table = customer_wire.decode_customers({"tenants": TENANTS})
    found = table.find(key)
    assert getattr(found, "name", None) == name
    assert getattr(found, "priority", None) == priority
    assert set(table.customers) == {"huka", "puhu", "none"}


def test_missing_list_differs_from_an_empty_one():
    assert customer_wire.decode_customers({}) is None
    assert customer_wire.decode_customers({"tenants": []}).find("any") is None


@pytest.mark.parametrize(
    ("place", "value"),
    [
        ((), {"name": SECRET}),
        ((), SECRET),
        ((0,), SECRET),
        ((0,), [SECRET]),
        ((0, "name"), ""),
        ((0, "name"), [SECRET]),
        ((0, "name"), "a\r\nb"),
        ((0, "name"), " a"),
        ((0, "name"), "ä"),
        ((0, "name"), "x" * 256),
        ((0, "name"), "puhu"),
        ((0, "priority"), -1),
        ((0, "priority"), True),
        ((0, "priority"), 1.0),
        ((0, "priority"), SECRET),
        ((0, "api-keys"), SECRET),
        ((0, "api-keys"), {SECRET: 1}),
        ((0, "api-keys", 1), ""),
        ((0, "api-keys", 1), 7),
        ((0, "api-keys", 1), None),
        ((0, "api-keys", 1), [SECRET]),
        ((0, "api-keys", 1), f"{SECRET} x"),
        ((0, "api-keys", 1), f"{SECRET}\n"),
        ((0, "api-keys", 1), "é"),
        ((0, "api-keys", 1), SECRET * 100),
        ((1, "api-keys", 0), SECRET),
    ],
)
def test_faulty_customer_is_refused_without_showing_a_key(place, value):
    document = {"tenants": copy.deepcopy(TENANTS)}
    at, last = document, "tenants"
    for step in place:
        at, last = at[last], step
    at[last] = value
    with pytest.raises(wire_values.WireValueError) as raised:
        customer_wire.decode_customers(document)
    assert "tenants" in str(raised.value)
    assert SECRET not in str(raised.value)
    assert raised.value.__suppress_context__ or not raised.value.__context__


def test_document_that_is_no_mapping_is_not_shown():
    with pytest.raises(wire_values.WireValueError) as raised:
        operator_wire.decode_configuration(f'["{SECRET}"]'.encode())
    assert SECRET not in str(raised.value)


def test_representations_contain_no_key():
    table = customer_wire.decode_customers({"tenants": TENANTS})
    record = store_records.KeyedRecord("config", SECRET.encode(), 0)
    assert SECRET not in repr(table)
    assert SECRET not in repr(record)


@pytest.mark.parametrize(
    ("value", "expected"), [(None, False), (True, True), (False, False)]
)
def test_routes_are_not_public_unless_stated(value, expected):
    fields = {} if value is None else {"public": value}
    found = wire_values.read_boolean(fields, "public", default=False)
    assert found is expected


@pytest.mark.parametrize("value", ["true", 1, "null", [True]])
def test_odd_public_field_is_refused(value):
    with pytest.raises(wire_values.WireValueError):
        wire_values.read_boolean({"public": value}, "public", default=False)


@pytest.mark.parametrize(
    ("values", "key"),
    [
        ([], None),
        (["Bearer abc"], "abc"),
        (["bearer  abc "], "abc"),
        (["Bearer"], None),
        (["Bearer "], None),
        (["Basic abc"], None),
        (["abc"], None),
        (["Bearer abc", "Bearer abc"], None),
    ],
)
def test_key_is_read_from_a_bearer_header(values, key):
    pairs = [("Authorization", value) for value in values]
    headers = CIMultiDictProxy(CIMultiDict(pairs))
    assert request_wire.read_api_key(headers) == key


def test_credentials_are_separated_in_any_spelling():
    pairs = [("X", "1"), ("AUTHORIZATION", "k"), ("tenant", "t"), ("Y", "2")]
    others, credentials = request_wire.split_credentials(pairs)
    assert others == (("X", "1"), ("Y", "2"))
    assert credentials == (("AUTHORIZATION", "k"), ("tenant", "t"))
