"""A fake agent that responds to attempts with scripted frames; builders of frames and attempts."""

import asyncio
import collections.abc
import time
import typing

from masticward import settings
from masticward.models import work
from masticward.protocol import attempt_client
from masticward.transport import channels
from masticward.utils import addresses, identifiers
from masticward.wire import masticward_pb2, masticward_pb2_grpc

HOST = addresses.own_loopback_host()
PARTS = (b"first", b"", b"second part")


def build_attempt(
    address: str = "127.0.0.1:1", attempt_id: str = "a-1", seconds: float = 5.0
) -> attempt_client.AttemptRequest:
    deadline = time.monotonic() + seconds
    return attempt_client.AttemptRequest(
        attempt_id=attempt_id,
        ticket_id="t-1",
        slot=work.Slot(
            id=7,
            agent_id="agent-1",
            agent_incarnation=3,
            agent_address=address,
            availability_zone="ebene",
            deadline=min(deadline, time.monotonic() + 2.0),
        ),
        call=work.CallRequest(
            request_id="r-1",
            team="mango",
            service="model",
            operation="generate",
            method="POST",
            path="/v1/generate",
            headers=(("a", "b"),),
            body=b"{}",
            deadline=deadline,
        ),
        config_version=4,
        operations_version=5,
        call_digest=6,
        answer_deadline=deadline,
    )


def complete_frames(
    attempt_id: str = "a-1", parts: collections.abc.Sequence[bytes] = PARTS
) -> list[masticward_pb2.RunFrame]:
    """Return all frames of a complete response."""
    body = b"".join(parts)
    contents: list[dict[str, typing.Any]] = [
        {"accepted": masticward_pb2.Accepted()},
        {"head": masticward_pb2.Head(status=200)},
        *({"chunk": masticward_pb2.Chunk(data=part)} for part in parts),
    ]
    end = masticward_pb2.End(
        frame_count=len(contents) + 1, length=len(body), digest=identifiers.body_digest(body)
    )
    return [
        masticward_pb2.RunFrame(attempt_id=attempt_id, sequence=sequence, **content)
        for sequence, content in enumerate([*contents, {"end": end}])
    ]


class ScriptedAgent(masticward_pb2_grpc.AttemptServicer):
    """Sends ``frames`` for each attempt, then closes the stream or, with ``hold``, leaves it open.

    ``requests`` holds the received requests, ``cancelled`` counts the cancelled ones.
    """

    def __init__(self) -> None:
        self.transport = channels.PeerTransport(
            settings.PeerSecurity(mode=settings.SecurityMode.SHARED_KEY, shared_key="k")
        )
        self.server = self.transport.create_server()
        self.pool = channels.ChannelPool(self.transport)
        self.client = attempt_client.GrpcAttemptClient(self.pool, "127.0.0.1:8")
        self.frames: list[masticward_pb2.RunFrame] = []
        self.hold = False
        self.requests: list[masticward_pb2.RunRequest] = []
        self.cancelled = 0
        self.address = ""

    async def Run(self, request, context):  # type: ignore[no-untyped-def]  # noqa: N802
        self.requests.append(request)
        try:
            for frame in self.frames:
                # Not yielded: grpc does not close a generator after its caller has disconnected.
                await context.write(frame)
            if self.hold:
                await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def __aenter__(self) -> "ScriptedAgent":
        masticward_pb2_grpc.add_AttemptServicer_to_server(self, self.server)
        self.address = f"{HOST}:{self.transport.bind(self.server, f'{HOST}:0')}"
        await self.server.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.pool.close()
        await self.server.stop(0)
