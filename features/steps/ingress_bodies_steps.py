"""Steps for bodies of requests that have a content encoding."""

from __future__ import annotations

import asyncio
import gzip
import re
import zlib

import behave
from features.doubles import forwarding_site
from features.doubles import ingress_site
from features.doubles import scripted_endpoint
from godwitvalve.fleet import routes

CALL = forwarding_site.route(routes.RequestKind.ONCE)
TEXT = b'noise ' * 20
CONTENTS = {
    'gzip data': gzip.compress(TEXT),
    'no gzip data': TEXT,
    'deflate data': zlib.compress(TEXT),
    'expanding data': gzip.compress(bytes(100 * ingress_site.LIMIT_BYTES)),
    'the largest one': bytes(ingress_site.LIMIT_BYTES),
    'one byte too many': bytes(ingress_site.LIMIT_BYTES + 1),
}
FRAMINGS = {
    'with a length': lambda body: (f'Content-Length: {len(body)}', body),
    'in chunks': lambda body: (
        'Transfer-Encoding: chunked',
        scripted_endpoint.chunk(body) + scripted_endpoint.STREAM_END,
    ),
}
_ENCODING = re.compile(r'content-encoding: *([^\r]*)\r\n')


@behave.given('a body of {content} with the encoding "{encoding}"')
def encoded_body(context, content, encoding):
    context.body = CONTENTS[content]
    context.encoding = encoding


@behave.when('a caller sends it {framing}')
def send_body(context, framing):
    framed_by, sent = FRAMINGS[framing](context.body)

    async def run():
        script = [scripted_endpoint.answer()]
        ingress = ingress_site.IngressSite([[script]], CALL)
        async with ingress.running():
            context.result = await ingress.ask(
                body=sent,
                body_headers=(
                    f'{framed_by}\r\nContent-Encoding: {context.encoding}\r\n'
                ),
            )
        (context.endpoint,) = ingress.scripted

    asyncio.run(run())


@behave.then('the caller gets status {status:d}')
def caller_gets(context, status):
    assert context.result.status == status, context.result


@behave.then('the endpoint got the body and its encoding unchanged')
def body_unchanged(context):
    (head,) = context.endpoint.heads
    assert context.endpoint.bodies == [context.body], context.endpoint.bodies
    assert _ENCODING.findall(head) == [context.encoding], head


@behave.then('the endpoint got no request')
def no_request(context):
    assert not context.endpoint.heads
