/**
 * Named limits under faults that overlap, on entries that are processes of their own: killed, paused, stopped and restarted
 * while limits change. `LIMIT_SOAK_SEED`, `LIMIT_SOAK_COUNT` and `LIMIT_SOAK_ENTRIES` choose longer runs.
 */
import { Agent } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { test } from 'tap'
import { topics } from '../platform/names.js'
import { monotonicNow } from '../src/utils/clock.js'
import { seededRandom } from '../src/utils/random.js'
import { callEntry, EntryProcesses, type CallResult, type EntryProcess } from './fakes/entry-process.js'
import { LimitedUpstream } from './fakes/limited-upstream.js'
import { PlatformStoreStandIn } from './fakes/platform-store.js'

const settings = {
  seed: Number(process.env['LIMIT_SOAK_SEED'] ?? 1),
  count: Number(process.env['LIMIT_SOAK_COUNT'] ?? 1),
  entries: Number(process.env['LIMIT_SOAK_ENTRIES'] ?? 6)
}
const dataCentre = 'zone-a'
const limits = [1, 2, 5, 12] as const
const series = 3
/** Callers' requests a second as a multiple of what all limits allow. */
const demandFactor = 3
const calmMilliseconds = 4000
const faultyMilliseconds = 14_000
const callMilliseconds = 900
const startMilliseconds = 20_000

const bytesOf = (value: object): Buffer => Buffer.from(JSON.stringify(value))

/** A fault of one entry, which has ended when it resolves. */
abstract class EntryFault {
  abstract readonly name: string
  abstract play (entry: EntryProcess, random: () => number): Promise<void>
}

class Kill extends EntryFault {
  readonly name = 'kill'
  async play ({ process: managed }: EntryProcess, random: () => number): Promise<void> {
    await managed.end()
    await delay(random() * 2000)
    await managed.ensureRunning()
  }
}

class PlannedStop extends EntryFault {
  readonly name = 'stop'
  async play ({ process: managed }: EntryProcess): Promise<void> {
    // Another series may be starting it.
    await managed.ensureRunning()
    await managed.stop()
    await managed.ensureRunning()
  }
}

class Pause extends EntryFault {
  readonly name = 'pause'
  async play ({ process: managed }: EntryProcess, random: () => number): Promise<void> {
    managed.kill('SIGSTOP')
    await delay(300 + random() * 4000)
    managed.kill('SIGCONT')
  }
}

const faults: readonly EntryFault[] = [new Kill(), new PlannedStop(), new Pause()]

function pick<Value> (choices: readonly Value[], random: () => number): Value {
  return choices[Math.floor(random() * choices.length)] as Value
}

/** Starts the store, the upstreams and the entries, and waits until each entry answers. */
async function startAll (random: () => number, agent: Agent): Promise<{ readonly store: PlatformStoreStandIn, readonly upstreams: readonly LimitedUpstream[], readonly fleet: EntryProcesses }> {
  const store = await PlatformStoreStandIn.start()
  const upstreams = limits.map(limit => new LimitedUpstream(limit, random() < 0.5 ? 0 : 0.2, random))
  await Promise.all(upstreams.map(async upstream => { await upstream.listen() }))
  store.append(topics.operators, 'config', bytesOf({
    version: 1,
    routes: [{ name: 'r', host: 'a.example', 'path-prefix': '/r/', 'route-type': 'safe', 'timeout-ms': 1000, 'latency-goal-ms': 300, priority: 1, 'max-attempts': 3, public: true, service: 'plain' }],
    services: [{ name: 'plain', 'max-conns': 500 }]
  }))
  for (const [index, { address }] of upstreams.entries()) {
    store.append(topics.instances, `i-${index}`, bytesOf({ service: 'plain', address, zone: dataCentre, state: 'ready', slots: 40, born: 1000 }))
  }
  const fleet = new EntryProcesses(settings.entries, dataCentre, store.address)
  await fleet.start()
  const deadline = monotonicNow() + startMilliseconds
  for (const { callers } of fleet.entries) {
    while ((await callEntry(callers, '/r/start', agent, 'start', callMilliseconds)).kind === 'lost' && monotonicNow() < deadline) await delay(100)
  }
  return { store, upstreams, fleet }
}

for (let seed = settings.seed; seed < settings.seed + settings.count; seed += 1) {
  test(`named limits are kept while entries fail and return, seed ${seed}`, { timeout: 120_000 }, async t => {
    const random = seededRandom(seed * 7919)
    const agent = new Agent({ keepAlive: true })
    const { store, upstreams, fleet } = await startAll(random, agent)
    const endAll = async (): Promise<void> => {
      await fleet.end()
      for (const upstream of upstreams) upstream.close()
      store.close()
      agent.destroy()
    }
    t.teardown(endAll)
    const until = monotonicNow() + calmMilliseconds + faultyMilliseconds
    const disturbed = new Set<string>()
    const played: string[] = []
    const playSeries = async (): Promise<void> => {
      await delay(calmMilliseconds + random() * 1000)
      while (monotonicNow() < until) {
        const [entry, fault] = [pick(fleet.entries, random), pick(faults, random)]
        disturbed.add(entry.instance)
        played.push(`${fault.name} ${entry.instance}`)
        await fault.play(entry, random)
        await delay(random() * 1000)
      }
    }
    const changeLimits = async (): Promise<void> => {
      while (monotonicNow() < until) {
        await delay(3000 + random() * 4000)
        pick(upstreams, random).change(pick([...limits, 0.5, undefined], random))
      }
    }
    const results: { readonly instance: string, readonly result: CallResult }[] = []
    const callAll = async (): Promise<void> => {
      const perSecond = limits.reduce((sum, limit) => sum + limit, 0) * demandFactor
      const calls: Promise<unknown>[] = []
      for (let number = 0; monotonicNow() < until; number += 1) {
        const { instance, callers } = pick(fleet.entries, random)
        calls.push(callEntry(callers, '/r/1', agent, `call-${number}`, callMilliseconds).then(result => { results.push({ instance, result }) }))
        await delay(1000 / perSecond)
      }
      await Promise.all(calls)
    }
    await Promise.all([callAll(), changeLimits(), ...Array.from({ length: series }, playSeries)])
    const lost = results.filter(({ instance, result }) => result.kind === 'lost' && !disturbed.has(instance))
    t.same(upstreams.map(({ findings }) => findings), upstreams.map(() => []), played.join(', '))
    t.same(lost, [], 'entries that nothing happened to answer each request')
    t.ok(upstreams.every(({ arrivals }) => arrivals.length > 0), `each upstream is used: ${upstreams.map(({ arrivals }) => arrivals.length).join(', ')}`)
  })
}
