/** Servers that send a second answer after a complete one, while the connection is idle: it is not the answer to the next call. */
import { test } from 'tap'
import { PlatformEngine } from '../platform/engine.js'
import { PlatformStore } from '../platform/store.js'
import { fetchRecords } from '../src/nodes/fed-record-log.js'
import { UpstreamConnections } from '../src/roles/agent/connections.js'
import { CheckedAgent } from '../src/transports/checked-agent.js'
import { callHttp } from '../src/transports/http-call.js'
import { requestJson } from '../src/transports/http-client.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { at } from './fakes/positions.js'
import { RawServer } from './fakes/raw-fleet.js'

const calls = 6
const secondAnswerMilliseconds = 10
const idleMilliseconds = 40
const milliseconds = 2000

/** Makes calls to `address` over persistent connections; a call gives the number that its answer holds. */
type StartCalls = (address: string) => () => Promise<unknown>

const callers: readonly { readonly name: string, readonly start: StartCalls, readonly bodyOf: (number: number) => string }[] = [
  {
    name: 'a call between processes',
    bodyOf: number => String(number),
    start: address => {
      const agent = new CheckedAgent({ keepAlive: true })
      return async () => Number((await callHttp({ address, method: 'GET', path: '/', deadline: monotonicNow() + milliseconds, maximumBytes: 1000, agent })).body.toString())
    }
  },
  { name: 'a call without an agent of its own', bodyOf: number => String(number), start: address => async () => Number((await callHttp({ address, method: 'GET', path: '/', deadline: monotonicNow() + milliseconds, maximumBytes: 1000 })).body.toString()) },
  { name: 'a request of the daemon', bodyOf: number => String(number), start: address => () => requestJson({ url: `http://${address}/`, method: 'GET', deadline: Date.now() + milliseconds }) },
  {
    name: 'a staged chunk',
    bodyOf: number => String(number),
    start: address => {
      const engine = new PlatformEngine(address)
      return async () => Number((await engine.stagedChunk('m', 0))?.toString())
    }
  },
  {
    name: 'records of the store',
    bodyOf: number => `{"end-offset":${number},"entries":[],"has-more":false}`,
    start: address => {
      const store = new PlatformStore(address)
      return async () => (await store.newest('operators')).next.offset
    }
  },
  {
    name: 'records of another entry',
    bodyOf: number => `{"records":[],"next":${number}}`,
    start: address => {
      const agent = new CheckedAgent({ keepAlive: true })
      return async () => (await fetchRecords(address, 'operators', at(0), agent, 'peer', 'node-1')).next.offset
    }
  },
  {
    name: 'the state of an upstream',
    bodyOf: number => `{"running":${number}}`,
    start: address => {
      const connections = new UpstreamConnections(`http://${address}`, '/load', { identityReceived: () => {}, upstreamUnreachable: () => {} })
      return async () => (await connections.probe())?.running
    }
  }
]

for (const { name, start, bodyOf } of callers) {
  for (const delayMilliseconds of [0, 2 * idleMilliseconds]) {
    test(`second answer: ${name}${delayMilliseconds === 0 ? '' : ', to a process that was delayed'}`, async t => {
      let number = 0
      const server = new RawServer(socket => {
        number += 1
        const { length } = bodyOf(number)
        socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n\r\n${bodyOf(number)}`)
        setTimeout(() => { if (!socket.destroyed) socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n\r\n${bodyOf(0)}`) }, secondAnswerMilliseconds)
      })
      const call = start(await server.start())
      t.teardown(() => { server.stop() })
      for (let index = 1; index <= calls; index += 1) {
        t.equal(await call(), index)
        const idle = sleepUntil(monotonicNow() + idleMilliseconds)
        block(delayMilliseconds)
        await idle
      }
    })
  }
}

/** Keeps the event loop from running. */
function block (blockMilliseconds: number): void {
  const until = monotonicNow() + blockMilliseconds
  while (monotonicNow() < until);
}
