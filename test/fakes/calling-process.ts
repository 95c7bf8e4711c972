/** Program that makes calls with long bodies to a server: `node calling-process.js CALLER ADDRESS`. It writes how many of them ended, answered or not. */
import { Agent } from 'node:http'
import { PlatformEngine } from '../../platform/engine.js'
import { PlatformRequests } from '../../platform/requests.js'
import { PlatformStore } from '../../platform/store.js'
import { CallInProgress } from '../../src/roles/gateway/upstream-call.js'
import { UpstreamConnections } from '../../src/roles/gateway/upstream-connections.js'
import { callHttp } from '../../src/transports/http-call.js'
import { readAll, sendRequest } from '../../src/transports/http-client.js'
import { monotonicNow, sleepUntil } from '../../src/utils/clock.js'

const [rounds, concurrency] = [12, 16] as const
const milliseconds = 3000
const body = Buffer.alloc(3_000_000)
const requestId = 'id-1'

/** Prepares calls to `address` over persistent connections; a call rejects if it fails. */
type StartCalls = (address: string) => () => Promise<unknown>

const callers: Readonly<Record<string, StartCalls>> = {
  'call between processes': address => {
    const agent = new Agent({ keepAlive: true })
    return () => callHttp({ address, method: 'POST', path: '/', body, deadline: monotonicNow() + milliseconds, maximumBytes: 1000, agent })
  },
  'request of the daemon': address => async () => {
    const deadline = Date.now() + milliseconds
    return await readAll(await sendRequest({ url: `http://${address}/`, method: 'POST', body, deadline }), deadline, 1000)
  },
  'chunk to an engine': address => {
    const engine = new PlatformEngine(address)
    return () => engine.stage('m', 0, body)
  },
  'record to the store': address => {
    const store = new PlatformStore(address)
    return () => store.write('entries', 'k', body)
  },
  'request to an upstream': address => {
    const connections = new UpstreamConnections()
    return () => callUpstream(address, connections)
  }
}

async function callUpstream (address: string, connections: UpstreamConnections): Promise<unknown> {
  const now = monotonicNow()
  const call = new CallInProgress({
    address,
    method: 'POST',
    target: '/a/',
    headers: { host: 'one.example' },
    body,
    agent: connections.agentsFor('i-1', 0, 1).persistent,
    resumedAfter: undefined,
    requestId,
    connectBy: now + milliseconds,
    isWithdrawn: () => false,
    firstResponseBy: now + milliseconds,
    inactivityTimeoutMilliseconds: milliseconds,
    finishBy: now + milliseconds,
    headReceived: () => {},
    bytesReceived: () => {},
    silent: () => {},
    lostAfterError: () => {},
    started: () => {}
  }, new PlatformRequests(), undefined)
  return await call.result
}

const [caller = '', address = ''] = process.argv.slice(2)
const call = callers[caller]?.(address)
if (call === undefined) throw new Error(`there is no caller ${caller}`)
let ended = 0
for (let round = 0; round < rounds; round += 1) ended += (await Promise.allSettled(Array.from({ length: concurrency }, () => call()))).length
// An error of a write may follow the answer.
await sleepUntil(monotonicNow() + 100)
process.stdout.write(`${ended}\n`)
process.exit()
