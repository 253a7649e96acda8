"""Log responses.

Reads the bodies of the responses of the platform's log, in bounded size.
"""

import json
from typing import Any

import aiohttp

from laburnumscale.errors import LogReplyInvalid

__all__ = ["read_body", "read_json"]

#: A read brings about 1 MB of records, or as much in base64.
MAX_BODY_BYTES = 4 * 1024 * 1024


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the body of a response.

    :raises LogReplyInvalid: it is too large, or has no end.
    """
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > MAX_BODY_BYTES:
            body.clear()  # the traceback of the error would keep it
            reason = f"the body has more than {MAX_BODY_BYTES} bytes"
            raise LogReplyInvalid(str(response.url), reason)
    return bytes(body)


async def read_json(response: aiohttp.ClientResponse) -> Any:
    """Return the value in the JSON body of a response.

    :raises LogReplyInvalid: the body is too large, or has no end.
    :raises ValueError: it is not JSON.
    """
    return json.loads(await read_body(response))
