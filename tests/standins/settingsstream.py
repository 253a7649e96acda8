"""Settings stream.

Reads and writes the settings stream of the log stand-in, without a daemon.
"""

import base64
import json

import grpc
from google.protobuf.message import DecodeError

from laburnumscale_schema import peer_pb2, peer_pb2_grpc, settings_pb2
from tests.standins.fleet import DaemonProcess, request

__all__ = ["INVALID_RECORDS", "SettingsStream"]

MIB_BYTES = 1024 * 1024
UNKNOWN_FIELD = b"\x98\x06\x01"  # field 99, a varint


class SettingsStream:
    """Client of the log stand-in for its settings stream.

    :param log_port: port of the stand-in on 127.0.0.1.
    """

    def __init__(self, log_port: int) -> None:
        self._base = f"http://127.0.0.1:{log_port}"

    def records(self) -> dict[int, settings_pb2.SettingsRecord]:
        """Return the stored records by offset, empty if they cannot be parsed."""
        reply = request("GET", f"{self._base}/streams/settings").json()
        return {
            record["offset"]: _parse_record(base64.b64decode(record["payload"]))
            for record in reply["records"]
        }

    def oldest_offset(self) -> int:
        """Return the offset of the oldest stored record."""
        return request("GET", f"{self._base}/streams/settings").json()["oldest"]

    def snapshot_revisions(self) -> dict[int, int]:
        """Return the revision of each snapshot by offset."""
        return {
            offset: record.snapshot.revision
            for offset, record in self.records().items()
            if record.HasField("snapshot")
        }

    def append(self, payload: bytes) -> int:
        """Append a record and return its offset."""
        reply = request("POST", f"{self._base}/streams/settings", payload)
        assert reply.status == 200, reply
        return reply.json()["offset"]

    def apply_delayed_appends(self) -> None:
        """Apply the appends that the stand-in has delayed."""
        assert request("POST", f"{self._base}/release/settings").status == 200

    def drop_before(self, offset: int) -> None:
        """Delete the records before an offset, as the retention of a log does."""
        url = f"{self._base}/retention/settings/{offset}"
        assert request("POST", url).status == 200

    @staticmethod
    def fetch_snapshot(daemon: DaemonProcess) -> settings_pb2.Snapshot:
        """Return the whole settings tree of a daemon, fetched as a new peer does."""
        address = f"127.0.0.1:{daemon.ports['peer']}"
        options = (("grpc.enable_http_proxy", 0),)
        with grpc.insecure_channel(address, options=options) as channel:
            stub = peer_pb2_grpc.PeerStub(channel)
            reply = stub.FetchSettings(
                peer_pb2.SettingsRequest(whole_tree=True), timeout=5
            )
        return reply.snapshot


def _parse_record(payload: bytes) -> settings_pb2.SettingsRecord:
    try:
        return settings_pb2.SettingsRecord.FromString(payload)
    except DecodeError:
        return settings_pb2.SettingsRecord()


def _build_change(
    change_id: str, place: str = "fleet", **settings
) -> settings_pb2.Change:
    edit = settings_pb2.Edit(
        place=place, settings=settings_pb2.ServiceSettings(**settings)
    )
    return settings_pb2.Change(change_id=change_id, author="test", edits=[edit])


def _serialize_record(change: settings_pb2.Change) -> bytes:
    return settings_pb2.SettingsRecord(change=change).SerializeToString()


def _build_change_with_unknown_field() -> bytes:
    known = _build_change("newer", slots=9).SerializeToString()
    return _serialize_record(settings_pb2.Change.FromString(known + UNKNOWN_FIELD))


def _build_change_without_value() -> bytes:
    edit = settings_pb2.Edit(place="fleet")
    change = settings_pb2.Change(change_id="empty", author="test", edits=[edit])
    return _serialize_record(change)


def _build_future_snapshot() -> bytes:
    snapshot = settings_pb2.Snapshot(revision=1_000_000)
    return settings_pb2.SettingsRecord(snapshot=snapshot).SerializeToString()


def _build_large_change() -> bytes:
    change = _build_change("large", slots=1)
    for number in range(2 * MIB_BYTES // 40):
        edit = change.edits.add(place=f"endpoint:slot-desk/endpoint-{number:08}")
        edit.settings.slots = 1
    assert change.ByteSize() > 2 * MIB_BYTES, json.dumps(change.ByteSize())
    return _serialize_record(change)


INVALID_RECORDS = {
    "random bytes": b"\xff\xfe\x00 no message",
    "empty": b"",
    "unknown kind": b"\x1a\x00",
    "unknown field": _build_change_with_unknown_field(),
    "place that is none": _serialize_record(_build_change("place", "zone:x", slots=1)),
    "value out of range": _serialize_record(_build_change("range", floor_percent=101)),
    "edit without value": _build_change_without_value(),
    "change of 2 MiB": _build_large_change(),
    "snapshot of the future": _build_future_snapshot(),
}
