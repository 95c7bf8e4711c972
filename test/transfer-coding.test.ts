/** Answers with a transfer coding other than chunks, which nobody asked for: no caller and no call between processes gets the coded body. */
import { test } from 'tap'
import { callHttp } from '../src/transports/http-call.js'
import { readAll, sendRequest } from '../src/transports/http-client.js'
import { monotonicNow } from '../src/utils/clock.js'
import { RawFleet, RawServer, routeKinds, signedHead, wholeText } from './fakes/raw-fleet.js'

const requests = 12
const milliseconds = 2000
const codedText = 'id: 1\ndata: coded\n\n'
const chunkedText = `${codedText.length.toString(16)}\r\n${codedText}\r\n0\r\n\r\n`

interface Case {
  readonly coding: string
  readonly body: string
}

const refused: readonly Case[] = [
  { coding: 'Transfer-Encoding: gzip', body: codedText },
  { coding: 'Transfer-Encoding: identity', body: codedText },
  { coding: 'Transfer-Encoding: xchunked', body: codedText },
  { coding: 'Transfer-Encoding: chunked, gzip', body: codedText },
  { coding: 'Transfer-Encoding: chunked, gzip', body: chunkedText },
  { coding: 'Transfer-Encoding: gzip, chunked', body: chunkedText },
  { coding: 'Transfer-Encoding: chunked, chunked', body: chunkedText },
  { coding: 'Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked', body: chunkedText },
  { coding: 'Transfer-Encoding:', body: codedText }
]
const accepted: readonly Case[] = [
  { coding: 'Transfer-Encoding: chunked', body: chunkedText },
  { coding: 'transfer-encoding:Chunked ', body: chunkedText }
]
const show = ({ coding, body }: Case): string => `${JSON.stringify(coding)}${body === chunkedText ? ', in chunks' : ''}`

for (const answer of [...refused, ...accepted]) {
  const isAccepted = accepted.includes(answer)

  test(`transfer coding: ${show(answer)}`, async t => {
    const fleet = new RawFleet((socket, id) => { socket.end(`${signedHead(id)}${answer.coding}\r\n\r\n${answer.body}`) })
    await fleet.start()
    t.teardown(async () => { await fleet.stop() })
    for (const kind of routeKinds) {
      const results = await fleet.sendAll(kind, requests, 1)
      const unserved = results.filter(({ status, text, isComplete }) => status !== 200 || !isComplete || !(text === wholeText || (isAccepted && text === codedText)))
      if (kind === 'unsafe' && !isAccepted) t.same(unserved.filter(({ status }) => status !== 502), [], 'unsafe: a request that may have run fails with 502')
      else t.same(unserved, [], `${kind}: all are served`)
    }
    t.ok(fleet.faulty.ids.length > 0, 'the upstream was called')
  })

  test(`transfer coding: ${show(answer)}, to calls between processes`, async t => {
    const server = new RawServer((socket, id) => { socket.end(`${signedHead(id)}${answer.coding}\r\n\r\n${answer.body}`) })
    const address = await server.start()
    t.teardown(() => { server.stop() })
    const bodies = [
      callHttp({ address, method: 'GET', path: '/', deadline: monotonicNow() + milliseconds, maximumBytes: 1000 }).then(({ body }) => body),
      readWhole(address)
    ]
    for (const body of bodies) {
      if (isAccepted) t.equal((await body).toString(), codedText)
      else await t.rejects(body)
    }
  })
}

async function readWhole (address: string): Promise<Buffer> {
  const deadline = Date.now() + milliseconds
  return await readAll(await sendRequest({ url: `http://${address}/`, method: 'GET', deadline }), deadline, 1000)
}
