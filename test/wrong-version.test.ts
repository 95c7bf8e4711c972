/** Whether requests that wait at an upstream begin on older weights after the bound, when only the named version may start them. */
import { test } from 'tap'
import { minimumVersionAt, withdrawalAt } from '../src/core/weights/start-cutoffs.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { EngineFleet, FakeEngine, prefixOf, wholeStream, type StreamRoute } from './fakes/engine-fleet.js'

/** Time from the naming of a version until requests start on it only, as the entries of the tests have it, milliseconds. */
const boundMilliseconds = 10_000
/** Time before the bound at which requests are sent, milliseconds: entries still use upstreams with older weights. */
const sentBeforeMilliseconds = 1200
/** Wait of a request at the upstream with older weights, milliseconds: past the bound, shorter than an entry waits before it tries another upstream. */
const waitMilliseconds = 1270
const namedVersion = 2

interface Case {
  readonly name: string
  readonly route: StreamRoute
  /** Wait for the first event at the upstream with older weights, milliseconds. */
  readonly wait?: number
  readonly requests?: number
  /** Version in the record of the upstream with older weights. */
  readonly listedVersion?: number
  /** Version in a later record of it, which is written once it has the requests. */
  readonly relistedVersion?: number
  /** Whether an upstream serves the named version before the bound. */
  readonly hasNamed?: boolean
  /** What callers get: the whole stream, or the status of a failure. */
  readonly expected: 'whole' | number
  /** Upstream whose stream callers get. */
  readonly servedBy?: 'older' | 'named'
}

const cases: readonly Case[] = [
  { name: 'one attempt', route: { isResumable: true, maximumUpstreams: 1 }, expected: 502 },
  { name: 'two attempts', route: { isResumable: true, maximumUpstreams: 2 }, expected: 'whole', servedBy: 'named' },
  { name: 'an upstream that is listed with the named version but has older weights', route: { isResumable: true, maximumUpstreams: 2 }, listedVersion: namedVersion, requests: 1, hasNamed: false, expected: 503 },
  { name: 'an upstream whose record names the named version while requests wait there, but which keeps older weights', route: { isResumable: true, maximumUpstreams: 2 }, relistedVersion: namedVersion, expected: 'whole', servedBy: 'named' },
  { name: 'a stream that may not run twice', route: { isResumable: false, maximumUpstreams: 1 }, expected: 502 },
  { name: 'no upstream with the named version', route: { isResumable: true, maximumUpstreams: 2 }, hasNamed: false, expected: 502 },
  { name: 'a stream that begins before the bound and ends after it', route: { isResumable: true, maximumUpstreams: 2 }, wait: 200, expected: 'whole', servedBy: 'older' },
  { name: 'one that may not run twice and begins before the bound', route: { isResumable: false, maximumUpstreams: 1 }, wait: 200, expected: 'whole', servedBy: 'older' }
]

for (const { name, route, wait = waitMilliseconds, listedVersion = namedVersion - 1, relistedVersion, requests = 4, hasNamed = true, expected, servedBy } of cases) {
  test(`wrong version: ${name}`, async t => {
    const fleet = new EngineFleet()
    await fleet.start([route])
    const older = await fleet.add(new FakeEngine('i-1', namedVersion - 1, wait, 500, listedVersion))
    const named = await fleet.add(new FakeEngine('i-2', namedVersion, 20), false)
    await sleepUntil(monotonicNow() + 1000)
    const boundAt = fleet.nameVersion(namedVersion) + boundMilliseconds
    await sleepUntil(boundAt - sentBeforeMilliseconds)
    const ids = Array.from({ length: requests }, (_, index) => `${prefixOf(route)}${index}`)
    const calls = ids.map(id => fleet.call(route, id))
    while (older.received.length < ids.length && monotonicNow() < boundAt - 700) await sleepUntil(monotonicNow() + 10)
    if (relistedVersion !== undefined) fleet.list(older, relistedVersion)
    if (hasNamed) fleet.list(named)
    const outcomes = await Promise.all(calls)
    await sleepUntil(boundAt + waitMilliseconds)
    await fleet.stop()
    t.equal(older.received.length, ids.length, 'all requests were sent to the older version before the cutoff')
    t.same([...older.begun.values()].filter(at => at >= boundAt).map(at => Math.round(at - boundAt)), [], 'none begins on it after the bound')
    t.same([...named.begun.keys()].sort(), servedBy === 'named' ? ids : [])
    for (const { status, body, endedAt } of outcomes) {
      t.equal(status, expected === 'whole' ? 200 : expected)
      if (expected === 'whole') t.equal(body, wholeStream)
      else t.ok(endedAt < boundAt, 'a failure is answered at once')
    }
  })
}

const rolloutMilliseconds = 8000
const named = [{ version: 2, since: 1000 }, { version: 3, since: 4000 }]
const cutoffs: readonly { readonly name: string, readonly version: number, readonly withdrawnAt: number | undefined }[] = [
  { name: 'the newest version', version: 3, withdrawnAt: undefined },
  { name: 'a version with one newer', version: 2, withdrawnAt: 11_500 },
  { name: 'a version with two newer, of which the first decides', version: 1, withdrawnAt: 8500 }
]

for (const { name, version, withdrawnAt } of cutoffs) {
  test(`start cutoffs: ${name}`, async t => { t.equal(withdrawalAt(named, version, rolloutMilliseconds), withdrawnAt) })
}

const minima: readonly { readonly now: number, readonly version: number }[] = [
  { now: 7999, version: 0 },
  { now: 8000, version: 2 },
  { now: 10_999, version: 2 },
  { now: 11_000, version: 3 }
]

for (const { now, version } of minima) {
  test(`start cutoffs: lowest version at ${now} ms`, async t => { t.equal(minimumVersionAt(named, rolloutMilliseconds, now), version) })
}
