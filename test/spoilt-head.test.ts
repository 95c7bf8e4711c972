/**
 * Answers with a spoilt head, through a real entry and to calls between processes: none of them is an answer. An error that
 * nobody handles fails the test, as it would end a process.
 */
import { test } from 'tap'
import { callHttp } from '../src/transports/http-call.js'
import { readAll, sendRequest } from '../src/transports/http-client.js'
import { monotonicNow } from '../src/utils/clock.js'
import { RawFleet, RawServer, routeKinds, signedHead, wholeText } from './fakes/raw-fleet.js'

const requests = 12
const milliseconds = 2000
const spoiltText = 'id: 1\ndata: spoilt\n\n'
const lengthLine = `Content-Length: ${spoiltText.length}\r\n`

interface Form {
  readonly name: string
  /** The answer to request `id` up to its body. */
  readonly head: (id: string) => string
}

/** Status line in place of a proper one. */
const statusLines = ['HTTP/1.1 000 OK', 'HTTP/1.1 20 OK', 'HTTP/1.1 2000 OK', 'HTTP/1.1 -200 OK', 'HTTP/1.1 2x0 OK', 'HTTP/1.1 OK', 'HTTP/1.1', 'HTTP/1.1200 OK', 'HTTP/0.9 200 OK', 'HTTP/2.0 200 OK', 'HTTP/3.0 200 OK', 'HTTP/11.1 200 OK', 'http/1.1 200 OK', 'ICY 200 OK']
/** A line besides proper ones. */
const lines = [
  'X Blank: a', 'X-Blank : a', 'X-Tab\t: a', 'X\tTab: a', 'X\x00Nul: a', 'X\x01Control: a', '\x1fX-Control: a', 'X-Delete\x7f: a', 'X\x80High: a', 'X-\xff: a', 'X(Comment): a', ': no name', 'no colon',
  'Content-Length x: 3', 'Content Length: 3', 'Transfer-Encoding\x01: chunked',
  'X-Value: a\x00b', 'X-Value: a\x01b', 'X-Value: a\x7fb', 'X-Value: a\rb',
  `Content-Length: ${spoiltText.length + 3}`, 'Content-Length: 5, 5', 'Content-Length: -5', 'Content-Length: 0x5', 'Content-Length: 5x', 'Content-Length:'
]
const show = (text: string): string => JSON.stringify(text).slice(1, -1)

const forms: readonly Form[] = [
  ...statusLines.map(line => ({ name: `status line ${show(line)}`, head: (id: string) => `${signedHead(id, line)}${lengthLine}\r\n` })),
  ...lines.flatMap(line => [
    { name: `last line ${show(line)}`, head: (id: string) => `${signedHead(id)}${lengthLine}${line}\r\n\r\n` },
    { name: `first line ${show(line)}`, head: (id: string) => `${signedHead(id, `HTTP/1.1 200 OK\r\n${line}`)}${lengthLine}\r\n` }
  ])
]

for (const { name, head } of forms) {
  test(`spoilt head: ${name}`, async t => {
    const fleet = new RawFleet((socket, id) => { socket.write(`${head(id)}${spoiltText}`, 'latin1') })
    await fleet.start()
    t.teardown(async () => { await fleet.stop() })
    for (const kind of routeKinds) {
      const results = await fleet.sendAll(kind, requests, 1)
      const unserved = results.filter(({ status, text, isComplete }) => status !== 200 || text !== wholeText || !isComplete)
      if (kind === 'unsafe') t.same(unserved.filter(({ status }) => status !== 502), [], 'unsafe: a request that may have run fails with 502')
      else t.same(unserved, [], `${kind}: all are served by the other upstreams`)
    }
    const unsafe = fleet.ids.filter(id => id.startsWith('unsafe'))
    t.equal(new Set(unsafe).size, unsafe.length, 'no request that may not run again runs twice')
    t.ok(fleet.faulty.ids.length > 0, 'the faulty upstream was called')
  })

  test(`spoilt head: ${name}, to calls between processes`, async t => {
    const server = new RawServer((socket, id) => { socket.end(`${head(id)}${spoiltText}`, 'latin1') })
    const address = await server.start()
    t.teardown(() => { server.stop() })
    await t.rejects(callHttp({ address, method: 'GET', path: '/', deadline: monotonicNow() + milliseconds, maximumBytes: 1000 }), 'call')
    await t.rejects(readWhole(address), 'request of the daemon')
  })
}

async function readWhole (address: string): Promise<unknown> {
  const deadline = Date.now() + milliseconds
  return await readAll(await sendRequest({ url: `http://${address}/`, method: 'GET', deadline }), deadline, 1000)
}
