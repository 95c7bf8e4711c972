/** What an entry tells agents with its subscriptions, and when. */
import { test } from 'tap'
import { rolloutFactsOf } from '../src/core/weights/rollout-facts.js'
import { AgentSubscriptions } from '../src/roles/gateway/agent-subscriptions.js'
import { FleetState } from '../src/roles/gateway/fleet-state.js'
import { encodeMessage } from '../src/transports/datagrams.js'
import type { FleetConfiguration, Upstream, VouchedLoad } from '../src/types/fleet.js'
import type { GossipedWeights, ReportedFacts, Subscription } from '../src/types/node-messages.js'
import { sleepUntil, monotonicNow } from '../src/utils/clock.js'
import { configurationOf, FakeCodec, model, service, noCost } from './fakes/weights-node.js'

/** Bytes of a datagram that fits one packet of 1,500 bytes. */
const packetBytes = 1472

/** An entry with some engines and a state that tests change. */
class Entry {
  readonly sent: { readonly message: Subscription, readonly ip: string, readonly at: number }[] = []
  /** Living entries. */
  entries = 1
  weights: readonly GossipedWeights[] = []
  configuration: FleetConfiguration | undefined
  readonly engines: Upstream[] = []
  /** By the IP of an agent. */
  readonly vouched = new Map<string, VouchedLoad>()
  readonly subscriptions = new AgentSubscriptions({
    dataCentre: 'zone-a',
    state: this,
    entryCount: () => this.entries,
    engines: () => this.engines,
    vouchedAt: ip => this.vouched.get(ip),
    send: (message, ip) => { this.sent.push({ message, ip, at: monotonicNow() }) }
  })

  constructor (engines: number) {
    for (let index = 1; index <= engines; index += 1) this.add(index)
  }

  rolloutFacts (name: string): ReportedFacts | undefined {
    return this.configuration === undefined ? undefined : { ...rolloutFactsOf(this.configuration, name), ageMilliseconds: 30 }
  }

  add (index: number): void {
    this.engines.push(new FakeCodec().upstream(`engine-${index}`, Buffer.from(`10.100.0.${index}`)))
  }

  name (version: number): void {
    this.weights = [...this.weights, { model, version, ageMilliseconds: 0 }]
    this.subscriptions.announceChanges()
  }

  configure (configuration: FleetConfiguration): void {
    this.configuration = configuration
    this.subscriptions.announceChanges()
  }

  /** Waits for announcements, and returns what was sent since the last call. */
  async taken (): Promise<readonly Subscription[]> {
    await sleepUntil(monotonicNow() + 250)
    return this.sent.splice(0).map(({ message }) => message)
  }
}

test('subscriptions: a new engine is told everything in the next round of gossip', async t => {
  const entry = new Entry(2)
  t.teardown(() => { entry.subscriptions.stop() })
  entry.configuration = configurationOf(3)
  entry.subscriptions.renew()
  t.same((await entry.taken()).map(({ agents, rollout }) => [agents.length, rollout?.configurationVersion]), [[1, 3], [1, 3]])
  entry.add(3)
  entry.subscriptions.renew()
  const sent = await entry.taken()
  t.same(sent.map(({ agents, rollout }) => [agents, rollout?.configurationVersion]), [[[['zone-a', '10.100.0.1'], ['zone-a', '10.100.0.2']], 3]], 'the others are not due yet')
})

test('subscriptions: an agent whose engine is not listed is answered, once there is a configuration', async t => {
  const entry = new Entry(2)
  entry.subscriptions.answerIntroduction(service, '10.100.0.9')
  t.equal((await entry.taken()).length, 0)
  entry.configuration = configurationOf(3)
  entry.subscriptions.answerIntroduction(service, '10.100.0.9')
  t.equal(entry.sent[0]?.ip, '10.100.0.9')
  t.same((await entry.taken()).map(({ agents, rollout }) => [agents.length, rollout?.configurationVersion]), [[2, 3]])
})

interface ChangeCase {
  readonly name: string
  readonly change: (entry: Entry) => void
  /** Version of the last named weights and of the configuration in each message. */
  readonly expected: readonly (readonly [number | undefined, number | undefined])[]
}

const changed = configurationOf(4)
const changeCases: readonly ChangeCase[] = [
  { name: 'newly named weights are sent at once', change: entry => { entry.name(2) }, expected: [[2, undefined]] },
  { name: 'new facts are sent at once', change: entry => { entry.configure(changed) }, expected: [[undefined, 4]] },
  { name: 'a new configuration with the same facts is not sent', change: entry => { entry.configure({ ...configurationOf(3), version: 4 }) }, expected: [] },
  { name: 'several changes of one page are sent together', change: entry => { entry.configure(changed); entry.name(2); entry.name(3) }, expected: [[3, 4]] },
  { name: 'no change', change: entry => { entry.subscriptions.announceChanges() }, expected: [] }
]

for (const { name, change, expected } of changeCases) {
  test(`subscriptions: ${name}`, async t => {
    const entry = new Entry(1)
    t.teardown(() => { entry.subscriptions.stop() })
    entry.configuration = configurationOf(3)
    entry.subscriptions.renew()
    await entry.taken()
    change(entry)
    t.same((await entry.taken()).map(({ weights, rollout }) => [weights.at(-1)?.version, rollout?.configurationVersion]), expected)
  })
}

test('subscriptions: changes in quick succession are sent at most every 100 ms', async t => {
  const entry = new Entry(1)
  t.teardown(() => { entry.subscriptions.stop() })
  entry.subscriptions.renew()
  await entry.taken()
  for (let version = 2; version < 40; version += 1) {
    entry.name(version)
    await sleepUntil(monotonicNow() + 10)
  }
  await sleepUntil(monotonicNow() + 250)
  const times = entry.sent.map(({ at }) => at)
  t.ok(times.slice(1).every((at, index) => at - (times[index] ?? 0) >= 100), times.join())
  t.equal(entry.sent.at(-1)?.message.weights.at(-1)?.version, 39, 'the last change is sent')
})

test('subscriptions: the list of agents and the facts are sent apart, each in one renewal of four, and fit one packet each', async t => {
  const entry = new Entry(50)
  t.teardown(() => { entry.subscriptions.stop() })
  entry.configuration = configurationOf(3)
  entry.weights = [2, 3, 4, 5].map(version => ({ model, version, ageMilliseconds: 123_456 }))
  entry.subscriptions.renew()
  entry.sent.splice(0)
  for (let renewal = 0; renewal < 4; renewal += 1) {
    await sleepUntil(monotonicNow() + 1010)
    entry.subscriptions.renew()
  }
  const messages = entry.sent.map(({ message }) => message)
  t.equal(messages.length, 200)
  t.equal(messages.filter(({ agents }) => agents.length === 49).length, 50)
  t.equal(messages.filter(({ rollout }) => rollout !== undefined).length, 50)
  t.notOk(messages.some(({ agents, rollout }) => agents.length > 0 && rollout !== undefined))
  t.ok(messages.every(message => encodeMessage(message).length <= packetBytes), String(Math.max(...messages.map(message => encodeMessage(message).length))))
  t.ok(messages.filter(({ agents }) => agents.length === 0).every(message => encodeMessage(message).length <= 300))
})

interface StateCase {
  readonly name: string
  /** Key and version of each record that an entry reads. */
  readonly records: readonly (readonly [string, number])[]
  readonly received?: readonly GossipedWeights[]
  readonly expectedFacts: number | undefined
  readonly expectedWeights: readonly number[]
  readonly expectedChanges: number
}

const stateCases: readonly StateCase[] = [
  { name: 'no record', records: [], expectedFacts: undefined, expectedWeights: [], expectedChanges: 0 },
  { name: 'a newer configuration', records: [['configuration', 3], ['configuration', 5]], expectedFacts: 5, expectedWeights: [], expectedChanges: 2 },
  { name: 'an older configuration', records: [['configuration', 5], ['configuration', 3]], expectedFacts: 5, expectedWeights: [], expectedChanges: 1 },
  { name: 'weights of the log and of another entry', records: [['weights', 3]], received: [{ model, version: 2, ageMilliseconds: 50 }, { model, version: 3, ageMilliseconds: 900 }], expectedFacts: undefined, expectedWeights: [2, 3], expectedChanges: 2 },
  { name: 'weights so old that they were forgotten', records: [['weights', 2], ['weights', 3], ['weights', 4], ['weights', 5], ['weights', 6]], received: [{ model, version: 2, ageMilliseconds: 9000 }], expectedFacts: undefined, expectedWeights: [3, 4, 5, 6], expectedChanges: 5 }
]

for (const { name, records, received = [], expectedFacts, expectedWeights, expectedChanges } of stateCases) {
  test(`state of an entry: ${name}`, async t => {
    let changes = 0
    const state = new FleetState(new FakeCodec(), 8000, () => { changes += 1 })
    for (const [offset, [key, version]] of records.entries()) {
      state.put({ key, value: Buffer.from(String(version)), offset, era: 0 }, false, { source: 'log', cost: noCost })
      state.rolloutFacts(service)
    }
    state.mergeWeights(received)
    t.equal(state.rolloutFacts(service)?.configurationVersion, expectedFacts)
    t.same(state.weights.map(({ version }) => version), expectedWeights)
    t.equal(changes, expectedChanges)
  })
}

for (const { entries, renewals } of [{ entries: 8, renewals: 3 }, { entries: 99, renewals: 1 }]) {
  test(`subscriptions: ${entries} entries renew ${renewals} times in 2.6 s at an agent`, async t => {
    const entry = new Entry(1)
    t.teardown(() => { entry.subscriptions.stop() })
    entry.entries = entries
    const until = monotonicNow() + 2600
    while (monotonicNow() < until) {
      entry.subscriptions.renew()
      await sleepUntil(monotonicNow() + 100)
    }
    t.equal(entry.sent.length, renewals)
  })
}

test('subscriptions: each agent is told for which load of its engine it vouched', async t => {
  const entry = new Entry(2)
  entry.configure(configurationOf(1))
  await entry.taken()
  const load: VouchedLoad = { startedAt: 5, orders: 2, version: 3 }
  entry.vouched.set('10.100.0.2', load)
  entry.subscriptions.answerIntroduction(service, '10.100.0.2')
  t.same(entry.sent.splice(0).map(({ message, ip }) => [ip, message.vouched]), [['10.100.0.2', load]])
  entry.subscriptions.renew()
  t.same(entry.sent.splice(0).map(({ message, ip }) => [ip, message.vouched]), [['10.100.0.1', undefined], ['10.100.0.2', load]])
  entry.subscriptions.stop()
})
