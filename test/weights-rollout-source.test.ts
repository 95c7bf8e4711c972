/** Where agents learn what to roll out: subscriptions of entries, and the log while no entry subscribes. */
import { test } from 'tap'
import { nextLogReadAt } from '../src/core/weights/log-fallback.js'
import { mergeNamedVersion, type ReportedVersion } from '../src/core/weights/named-versions.js'
import type { NamedVersion } from '../src/core/weights/version-plan.js'
import { Metrics } from '../src/plugins/metrics.js'
import { NamedVersions } from '../src/roles/weights/named-versions.js'
import { PeerTable } from '../src/roles/weights/peer-table.js'
import { RolloutSource } from '../src/roles/weights/rollout-source.js'
import type { Subscription } from '../src/types/node-messages.js'
import { monotonicNow } from '../src/utils/clock.js'
import { eventually } from './fakes/test-cluster.js'
import { FakeCodec, FakeLog, model, service, settings, subscriptionOf, WeightsNode } from './fakes/weights-node.js'

/** Address of the origin in the fake configurations. */
const origin = '127.0.0.1:9'

test('agents read no configuration from the log while entries subscribe', async t => {
  const node = new WeightsNode()
  t.teardown(async () => { await node.stop() })
  node.log.append('configuration', 3)
  await node.start()
  await node.sendFor(4500, subscriptionOf(3))
  t.ok(node.received.some(({ kind }) => kind === 'load'), 'the agent reports to the entry')
  t.ok(node.origin.requested.has(`${origin} ${model} 1`), 'the agent fetches what the entry tells')
  t.same(node.log.reads, { operators: 0, instances: 0, entries: 0 })
})

test('an agent that starts learns what to roll out before an entry lists its engine', async t => {
  const node = new WeightsNode()
  t.teardown(async () => { await node.stop() })
  await node.start()
  await eventually(() => node.received.length > 0)
  t.same(node.received[0], { kind: 'introduction', service })
  node.send(subscriptionOf(3))
  await eventually(() => node.origin.requested.has(`${origin} ${model} 1`))
  const introductions = (): number => node.received.filter(({ kind }) => kind === 'introduction').length
  const before = introductions()
  await node.sendFor(2000, subscriptionOf(3))
  t.equal(introductions(), before, 'it introduces itself no more while an entry subscribes')
  await eventually(() => introductions() > before)
  t.same(node.log.reads, { operators: 0, instances: 0, entries: 0 }, 'it does so before it reads the log')
})

test('an agent that no entry subscribes to reads the log, until an entry does', async t => {
  const node = new WeightsNode()
  t.teardown(async () => { await node.stop() })
  node.log.append('configuration', 3)
  node.log.append('weights', 5)
  await node.start()
  await eventually(() => node.origin.requested.has(`${origin} ${model} 5`))
  t.match(await node.metrics(), /log_reads_total\{stream="operators"\} 1\n/)
  t.match(await node.metrics(), /log_read_bytes_total\{stream="operators"\} \d\d/)
  node.send(subscriptionOf(3))
  await eventually(() => node.received.some(({ kind }) => kind === 'load'))
  const { operators } = node.log.reads
  await node.sendFor(5500, subscriptionOf(3, { rollout: undefined, weights: [{ model, version: 6, ageMilliseconds: 20 }] }))
  t.equal(node.log.reads.operators, operators, 'it does not read the log again')
  t.ok(node.origin.requested.has(`${origin} ${model} 6`))
})

test('an agent without log and without configuration learns it from an entry that gets one later', async t => {
  const node = new WeightsNode()
  t.teardown(async () => { await node.stop() })
  node.log.isAvailable = false
  await node.start()
  await node.sendFor(4500, subscriptionOf(3, { rollout: undefined }))
  t.ok(node.log.reads.operators > 0, 'entries without a configuration do not replace the log')
  await node.sendFor(1000, subscriptionOf(3))
  t.ok(node.origin.requested.has(`${origin} ${model} 1`))
})

function sourceWith (log: FakeLog): { readonly source: RolloutSource, readonly named: NamedVersions, readonly peers: PeerTable } {
  const named = new NamedVersions(settings.rolloutMilliseconds)
  const peers = new PeerTable(settings.ip, settings.dataCentre)
  const source = new RolloutSource({ service, records: log, codec: new FakeCodec(), named, peers, metrics: new Metrics(), introduce: () => {} })
  return { source, named, peers }
}

test('an agent that no entry subscribes to finds the others in the log, and reads each operators\' record once', async t => {
  const log = new FakeLog()
  const { source, named, peers } = sourceWith(log)
  t.teardown(() => { source.stop() })
  log.append('configuration', 3)
  log.append('weights', 2)
  log.addInstance('10.0.0.7')
  source.run().catch(error => { t.error(error) })
  await eventually(() => peers.all().length > 0)
  const deadline = named.find(model, 2).since + settings.rolloutMilliseconds
  t.ok(deadline <= monotonicNow(), 'the age of what the first read finds is unknown, so its cutoff is past')
  log.append('weights', 3)
  await eventually(() => log.reads.operators === 2)
  t.equal(log.sentRecords, 3)
  t.ok(named.find(model, 3).since > deadline, 'what a later read finds was named since the one before')
})

const factsCases: readonly { readonly name: string, readonly received: readonly Subscription[], readonly expected: number | undefined }[] = [
  { name: 'no facts', received: [subscriptionOf(3, { rollout: undefined })], expected: undefined },
  { name: 'the first facts', received: [subscriptionOf(3)], expected: 3 },
  { name: 'facts of a newer configuration', received: [subscriptionOf(3), subscriptionOf(7)], expected: 7 },
  { name: 'facts of an entry that lags', received: [subscriptionOf(7), subscriptionOf(3)], expected: 7 },
  { name: 'facts of another service at the same address', received: [subscriptionOf(3), subscriptionOf(7, { service: 'other' })], expected: 3 },
  { name: 'a subscription without facts', received: [subscriptionOf(7), subscriptionOf(7, { rollout: undefined })], expected: 7 }
]

for (const { name, received, expected } of factsCases) {
  test(`rollout facts: ${name}`, async t => {
    const { source } = sourceWith(new FakeLog())
    for (const subscription of received) source.receive(subscription, '10.0.0.1')
    t.equal(source.facts?.configurationVersion, expected)
    t.equal(source.facts?.chunkCount, expected)
  })
}

const rolloutMilliseconds = 8000
const now = 100_000
const named = (...versions: readonly (readonly [number, number])[]): readonly NamedVersion[] => versions.map(([version, since]) => ({ version, since }))
const mergeCases: readonly { readonly name: string, readonly known: readonly NamedVersion[], readonly reported: ReportedVersion, readonly expected: readonly NamedVersion[] }[] = [
  { name: 'the first version', known: [], reported: { version: 2, ageMilliseconds: 30 }, expected: named([2, 99_970]) },
  { name: 'a newer version', known: named([2, 95_000]), reported: { version: 3, ageMilliseconds: 0 }, expected: named([2, 95_000], [3, 100_000]) },
  { name: 'an older version', known: named([3, 99_000]), reported: { version: 2, ageMilliseconds: 4000 }, expected: named([2, 96_000], [3, 99_000]) },
  { name: 'an earlier time', known: named([2, 99_000]), reported: { version: 2, ageMilliseconds: 4000 }, expected: named([2, 96_000]) },
  { name: 'a later time', known: named([2, 99_000]), reported: { version: 2, ageMilliseconds: 400 }, expected: named([2, 99_000]) },
  { name: 'an unknown age, of a known version', known: named([2, 99_000]), reported: { version: 2, ageMilliseconds: undefined }, expected: named([2, 99_000]) },
  { name: 'an age past the bound, of a known version', known: named([2, 99_000]), reported: { version: 2, ageMilliseconds: 9000 }, expected: named([2, 91_000]) },
  { name: 'an unknown age, of a new version', known: [], reported: { version: 2, ageMilliseconds: undefined }, expected: [{ version: 2, since: 92_000, isAgeUnknown: true }] },
  { name: 'a known age, of a version whose age was unknown', known: [{ version: 2, since: 92_000, isAgeUnknown: true }], reported: { version: 2, ageMilliseconds: 400 }, expected: named([2, 99_600]) },
  { name: 'a fifth version', known: named([2, 1], [3, 2], [4, 3], [5, 4]), reported: { version: 6, ageMilliseconds: 0 }, expected: named([3, 2], [4, 3], [5, 4], [6, now]) },
  { name: 'a version that was forgotten', known: named([3, 2], [4, 3], [5, 4], [6, 5]), reported: { version: 2, ageMilliseconds: 99_999 }, expected: named([3, 2], [4, 3], [5, 4], [6, 5]) }
]

for (const { name, known, reported, expected } of mergeCases) {
  test(`named versions: ${name}`, async t => {
    const merged = mergeNamedVersion(known, reported, rolloutMilliseconds, now)
    t.same(merged, expected)
    t.equal(merged === known, JSON.stringify(known) === JSON.stringify(expected), 'an unchanged list is the same object')
  })
}

test('named versions: the age that an entry reports decides the cutoff at an agent', async t => {
  const { source, named: versions } = sourceWith(new FakeLog())
  source.receive(subscriptionOf(3, { weights: [{ model, version: 2, ageMilliseconds: 7500 }, { model, version: 3, ageMilliseconds: 100 }] }), '10.0.0.1')
  const current = versions.find(model, 2).since + 7500
  t.ok(versions.isPastDeadline(1, current))
  t.notOk(versions.isPastDeadline(2, current))
})

const readCases: readonly { readonly name: string, readonly reads: number, readonly random: number, readonly expected: number }[] = [
  { name: 'the first read, 3 s after the last subscription', reads: 0, random: 0, expected: 3000 },
  { name: 'the first read, spread', reads: 0, random: 1, expected: 3900 },
  { name: 'the second read', reads: 1, random: 0, expected: 4500 },
  { name: 'the longest pause', reads: 1000, random: 1, expected: 10_000 }
]

for (const { name, reads, random, expected } of readCases) {
  test(`log fallback: ${name}`, async t => { t.equal(Math.round(nextLogReadAt(50_000, reads, random)), 50_000 + expected) })
}
