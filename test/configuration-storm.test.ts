/** Callers on kept connections that send one request after another while the configuration changes at random: none is left without an answer. */
import { test } from 'tap'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { seededRandom } from '../src/utils/random.js'
import { configurationChanges } from './fakes/configuration-changes.js'
import { ChangingFleet, callerKey, firstConfiguration } from './fakes/changing-fleet.js'
import { encodeRequest, RawCaller, type RawRequest, type Received } from './fakes/raw-caller.js'

const pause = (milliseconds: number): Promise<void> => sleepUntil(monotonicNow() + milliseconds)

const seeds = (process.env['STORM_SEEDS'] ?? '1,2').split(',').map(Number)
const callers = 40
const stormMilliseconds = 6000
const longestChangePauseMilliseconds = 120
const longestHoldMilliseconds = 250
const timeoutMilliseconds = 3000
/** Time after the deadline in which the answer must be there, milliseconds: the rules' half second, twice as one process plays all parts. */
const lateMilliseconds = 1000
/** Changes that are too large to be made many times a second. */
const excluded = new Set(['10,000 routes added'])
const promises = new Set([408, 421, 429, 503])
const upstreamKeys = ['p-1', 'p-2', 'q-1', 'n-1', 'o-1']

const shapes: readonly Omit<RawRequest, 'id' | 'timeoutMilliseconds'>[] = [
  { path: '/plain/1' },
  { path: '/plain/1', method: 'POST', framing: 'length', body: 'x'.repeat(900) },
  { path: '/once/1', method: 'POST', framing: 'chunked', body: 'x'.repeat(900) },
  { path: '/stream/1' },
  { path: '/stream/again/1' },
  { path: '/queue/1' },
  { path: '/narrow/1' },
  { path: '/narrow-once/1', method: 'POST' }
]

/** What is wrong with what a caller received; empty if nothing is. */
function judge (received: Received, id: string, fleet: ChangingFleet): string {
  if (received.kind !== 'answer') return `${received.kind} after ${JSON.stringify(received.bytes.slice(0, 80))}`
  if (promises.has(received.status) && fleet.arrived.has(id)) return `${received.status} promises that the request has not run, but it has`
  return received.status === 200 && !/done|data: 2/.test(received.body) ? 'incomplete answer' : ''
}

/** Sends requests until `until`, each on the connection before it unless the answer said that it closes; returns what is wrong. */
async function sendRequests (fleet: ChangingFleet, name: string, until: number, random: () => number): Promise<readonly string[]> {
  const findings: string[] = []
  let caller = new RawCaller(fleet.entry.callers)
  for (let number = 0; monotonicNow() < until; number += 1) {
    const shape = shapes[Math.floor(random() * shapes.length)] as Omit<RawRequest, 'id' | 'timeoutMilliseconds'>
    const id = `${name}-${number}`
    const { head, body } = encodeRequest({ ...shape, id, key: callerKey, timeoutMilliseconds, holdMilliseconds: Math.floor(random() * longestHoldMilliseconds) })
    const bytes = head + body
    const cut = Math.floor(random() * bytes.length)
    caller.send(bytes.slice(0, cut))
    if (random() < 0.5) await pause(random() * 100)
    caller.send(bytes.slice(cut))
    const received = await caller.answer(monotonicNow() + timeoutMilliseconds + lateMilliseconds)
    const finding = judge(received, id, fleet)
    if (finding !== '') findings.push(`${id} ${shape.path}: ${finding}`)
    if (received.kind !== 'answer' || /^connection: *close/im.test(received.head)) {
      caller.close()
      caller = new RawCaller(fleet.entry.callers)
    }
    await pause(random() * 60)
  }
  caller.close()
  return findings
}

/** Makes changes at random until `until`, but none that may end a stream by its route's timeout; each of the first configuration, with all upstreams listed before it. */
async function changeConfiguration (fleet: ChangingFleet, until: number, random: () => number): Promise<void> {
  const changes = configurationChanges.filter(({ name, mayTimeOut }) => !excluded.has(name) && mayTimeOut !== true)
  while (monotonicNow() < until) {
    fleet.configuration = firstConfiguration
    if (random() < 0.5) fleet.configure(firstConfiguration)
    for (const key of upstreamKeys) fleet.writeUpstream(key)
    await changes[Math.floor(random() * changes.length)]?.apply(fleet)
    await pause(random() * longestChangePauseMilliseconds)
  }
}

for (const seed of seeds) {
  test(`configuration storm: seed ${seed}`, async t => {
    const random = seededRandom(seed)
    const fleet = new ChangingFleet()
    await fleet.start()
    await pause(1500)
    const until = monotonicNow() + stormMilliseconds
    const changing = changeConfiguration(fleet, until, random)
    const findings = await Promise.all(Array.from({ length: callers }, (_, index) => sendRequests(fleet, `c${index}`, until, seededRandom(seed * 1000 + index))))
    await changing
    t.same(findings.flat(), [], `${fleet.arrived.size} requests reached upstreams, ${fleet.version} versions`)
    await fleet.stop()
  })
}
