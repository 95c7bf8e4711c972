/** An entry that knows of newer operators' records than it has read does not deny a request by its old configuration. */
import { request } from 'node:http'
import { test } from 'tap'
import { DatagramSocket } from '../src/transports/datagrams.js'
import { KnownLag } from '../src/core/fleet/known-lag.js'
import type { Gossip } from '../src/types/node-messages.js'
import { encodeConfiguration } from './fakes/fleet-configuration.js'
import { freshIp, internalPort, startEntries, versionInForce } from './fakes/entry-group.js'
import { SharedLog } from './fakes/shared-log.js'
import { eventually } from './fakes/test-cluster.js'
import { at } from './fakes/positions.js'

const lagCases: readonly { readonly name: string, readonly observed: readonly (readonly [number, number])[], readonly next: number, readonly now: number, readonly expected: boolean }[] = [
  { name: 'nothing heard', observed: [], next: 5, now: 0, expected: false },
  { name: 'others have read as much', observed: [[5, 0]], next: 5, now: 1, expected: false },
  { name: 'another has read further', observed: [[6, 0]], next: 5, now: 1, expected: true },
  { name: 'the records have been read since', observed: [[6, 0]], next: 6, now: 1, expected: false },
  { name: 'a report of long ago', observed: [[6, 0]], next: 5, now: 10_000, expected: false },
  { name: 'a report that is repeated', observed: [[6, 0], [6, 9000]], next: 5, now: 10_000, expected: false },
  { name: 'a lower report after a higher one', observed: [[7, 0], [6, 10]], next: 6, now: 20, expected: true }
]

for (const { name, observed, next, now, expected } of lagCases) {
  test(`known lag: ${name}`, async t => {
    const lag = new KnownLag()
    for (const [reported, time] of observed) lag.observe(at(reported), time)
    t.equal(lag.isBehind(at(next), now), expected)
  })
}

test('denied by an old configuration: 503 while a newer one is known of, 404 before and after', async t => {
  const log = new SharedLog('home')
  log.append('operators', 'config', encodeConfiguration(1, 1))
  const [entry] = await startEntries(log, ['home'], 1)
  if (entry === undefined) throw new Error('no entry was started')
  await eventually(async () => await versionInForce(entry) === 1)
  t.same(await ask(entry.callers), { status: 404, hasRetryAfter: false }, 'nothing newer is known of')
  const other = new DatagramSocket(internalPort, () => {})
  const ip = freshIp()
  await other.open(ip)
  other.send(gossipOf(ip, 2), entry.internal.split(':')[0] ?? '')
  await eventually(async () => (await ask(entry.callers)).status === 503)
  t.same(await ask(entry.callers), { status: 503, hasRetryAfter: true }, 'another entry has read one record more')
  log.append('operators', 'config', encodeConfiguration(2, 1))
  await eventually(async () => await versionInForce(entry) === 2)
  t.same(await ask(entry.callers), { status: 404, hasRetryAfter: false }, 'the record has been read')
  other.close()
  await entry.node.stop()
})

function gossipOf (ip: string, operatorsNext: number): Gossip {
  const sender = { instance: 'other', ip, callers: `${ip}:8005`, dataCentre: 'home', region: 'home', incarnation: 1, beat: 1, isReady: true, logDelayMilliseconds: -1 }
  return { kind: 'gossip', sender, others: [], operatorsNext: at(operatorsNext), instancesNext: at(0), weights: [], limits: [], leaving: [] }
}

function ask (address: string): Promise<{ readonly status: number | undefined, readonly hasRetryAfter: boolean }> {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    request({ host, port, path: '/unknown/', headers: { host: 'host-0.example', 'x-attempt-id': 'a', 'x-deadline-ms': '1000' } }, answer => {
      answer.resume()
      resolve({ status: answer.statusCode, hasRetryAfter: answer.headers['retry-after'] !== undefined })
    }).on('error', reject).end()
  })
}
