/** Healthy upstreams that send nothing for a second or so and go on, and upstreams that hang, through a real entry. */
import { setTimeout as delay } from 'node:timers/promises'
import { test } from 'tap'
import { metricOf } from './fakes/entry-group.js'
import { completeText, eventCount, isWhole, StreamFleet, type RouteOptions, type ScriptedCall, type Script } from './fakes/stream-fleet.js'
import { eventually } from './fakes/test-cluster.js'

interface Case {
  readonly name: string
  readonly options: RouteOptions
  readonly script: Script
  readonly callers: number
  /** Most calls that all requests may make together. */
  readonly maximumCalls: number
  /** Fewest calls, where another upstream must have been asked. */
  readonly minimumCalls?: number
  /** Whether an upstream resets its connections, for which it may remain ejected for seconds. */
  readonly isReset?: boolean
}

/** Sends two events, nothing for a time, and the rest. */
async function pause (call: ScriptedCall, milliseconds: number): Promise<void> {
  const last = Math.min(eventCount, call.after + 2)
  await call.sendUntil(last)
  await delay(milliseconds)
  await call.finish(last + 1)
}

/** Sends two events and then nothing. */
async function hang (call: ScriptedCall): Promise<void> {
  await call.sendUntil(call.after + 2)
}

/** The first call of a request is silent for a while, further ones run the other script. */
const pausingFirst = (milliseconds: number, other: Script): Script => async (call, number, upstream) => {
  await (number === 0 ? pause(call, milliseconds) : other(call, number, upstream))
}

/** Time for which a pause may have an upstream ejected, milliseconds. */
const ejectionMilliseconds = 600

/** Time that deployments state for a planned stop (`grace-s`), milliseconds. */
const stopGraceMilliseconds = 8000

/** Retries that the tests' entry allows at once for a number of requests: 0.6 of its budget. */
const budgetFor = (requests: number): number => Math.floor(0.6 * (0.2 * requests + 100))

const cases: readonly Case[] = [
  { name: '1.2 s at each of two, 2 attempts', options: { upstreams: 2, maximumUpstreams: 2 }, script: async call => { await pause(call, 1200) }, callers: 20, maximumCalls: 20 },
  { name: '1.5 s, 1 attempt', options: { upstreams: 1, maximumUpstreams: 1 }, script: async call => { await pause(call, 1500) }, callers: 5, maximumCalls: 5 },
  { name: '1.5 s at each of two, 2 attempts', options: { upstreams: 2, maximumUpstreams: 2 }, script: async call => { await pause(call, 1500) }, callers: 20, maximumCalls: 40, minimumCalls: 21 },
  { name: '1.5 s at each of four, 3 attempts', options: { upstreams: 4, maximumUpstreams: 3 }, script: async call => { await pause(call, 1500) }, callers: 100, maximumCalls: 100 + budgetFor(100), minimumCalls: 101 },
  { name: '1.5 s at two of four, 2 attempts', options: { upstreams: 4, maximumUpstreams: 2 }, script: async (call, _number, upstream) => { await (upstream < 2 ? pause(call, 1500) : call.finish()) }, callers: 160, maximumCalls: 160 + budgetFor(160) },
  { name: '1.7 s, no other upstream', options: { upstreams: 1, maximumUpstreams: 3 }, script: async call => { await pause(call, 1700) }, callers: 5, maximumCalls: 5 },
  { name: '1.5 s, not resumable', options: { upstreams: 2, maximumUpstreams: 2, isResumable: false }, script: async call => { await pause(call, 1500) }, callers: 5, maximumCalls: 5 },
  { name: '1.5 s, retry budget used up', options: { upstreams: 2, maximumUpstreams: 2 }, script: async call => { await pause(call, 1500) }, callers: 160, maximumCalls: 160 + budgetFor(160) },
  {
    name: '1.7 s before the first event at each of two, 2 attempts',
    options: { upstreams: 2, maximumUpstreams: 2 },
    script: async call => {
      await delay(1700)
      await call.finish()
    },
    callers: 20,
    maximumCalls: 40
  },
  {
    name: 'goes on while the other upstream begins',
    options: { upstreams: 2, maximumUpstreams: 2 },
    script: async (call, number) => {
      const index = Number(call.id.split('-')[1])
      if (number === 0) await pause(call, 1280 + 6 * index)
      else {
        await delay(index % 3 * 25)
        await call.finish()
      }
    },
    callers: 30,
    maximumCalls: 60
  },
  { name: '1.6 s, another upstream at the address of the second', options: { upstreams: 2, maximumUpstreams: 2 }, script: pausingFirst(1600, call => { call.refuse(421) }), callers: 5, maximumCalls: 10, minimumCalls: 6 },
  { name: '1.6 s, the second refuses', options: { upstreams: 2, maximumUpstreams: 2 }, script: pausingFirst(1600, call => { call.refuse(503) }), callers: 5, maximumCalls: 10, minimumCalls: 6 },
  { name: '1.6 s, the second is reset', options: { upstreams: 2, maximumUpstreams: 2 }, script: pausingFirst(1600, call => { call.reset() }), isReset: true, callers: 5, maximumCalls: 10, minimumCalls: 6 },
  {
    name: '1.6 s, the second is reset after its head',
    options: { upstreams: 2, maximumUpstreams: 2 },
    script: pausingFirst(1600, async call => {
      call.sendHead()
      await delay(30)
      call.reset()
    }),
    isReset: true,
    callers: 5,
    maximumCalls: 10,
    minimumCalls: 6
  },
  { name: '1.6 s, the second fails', options: { upstreams: 2, maximumUpstreams: 2 }, script: pausingFirst(1600, call => { call.answer(500, 'failed') }), callers: 5, maximumCalls: 10, minimumCalls: 6 },
  { name: '2.5 s, the second never answers', options: { upstreams: 2, maximumUpstreams: 2 }, script: pausingFirst(2500, () => {}), callers: 5, maximumCalls: 10, minimumCalls: 10 },
  { name: 'two hang, the third goes on', options: { upstreams: 3, maximumUpstreams: 3 }, script: async (call, number) => { await (number === 0 ? hang(call) : number === 2 ? call.finish() : undefined) }, callers: 5, maximumCalls: 15, minimumCalls: 15 },
  {
    name: 'one hangs, the second is reset after an event, the third goes on',
    options: { upstreams: 3, maximumUpstreams: 3 },
    script: async (call, number) => {
      if (number === 0) await hang(call)
      else if (number === 2) await call.finish()
      else {
        await call.sendUntil(3)
        call.reset()
      }
    },
    isReset: true,
    callers: 5,
    maximumCalls: 15,
    minimumCalls: 15
  },
  {
    name: 'the first is reset before the second begins',
    options: { upstreams: 2, maximumUpstreams: 2 },
    script: async (call, number) => {
      if (number === 0) {
        await call.sendUntil(2)
        await delay(1500)
        call.reset()
      } else {
        await delay(500)
        await call.finish()
      }
    },
    isReset: true,
    callers: 5,
    maximumCalls: 10,
    minimumCalls: 10
  },
  {
    name: 'one hangs, the other has a free slot later',
    options: { upstreams: 2, maximumUpstreams: 2, slots: 1 },
    script: async (call, number, upstream) => {
      if (upstream === 0) await hang(call)
      else if (number > 0) await call.finish()
      else {
        for (let id = 1; id <= eventCount; id += 1) {
          await call.sendUntil(id, id)
          await delay(400)
        }
        await call.finish(eventCount + 1)
      }
    },
    callers: 4,
    maximumCalls: 6,
    minimumCalls: 6
  }
]

for (const { name, options, script, callers, maximumCalls, minimumCalls = callers, isReset = false } of cases) {
  test(`silent upstream: ${name}`, async t => {
    const fleet = new StreamFleet(options, script)
    await fleet.start()
    const results = await fleet.sendAll(callers)
    t.equal(results.filter(isWhole).length, callers, 'each caller has the whole stream and its end')
    t.ok(fleet.allCalls.length <= maximumCalls, `${fleet.allCalls.length} calls, at most ${maximumCalls}`)
    t.ok(fleet.allCalls.length >= minimumCalls, `${fleet.allCalls.length} calls, at least ${minimumCalls}`)
    t.ok([...fleet.calls.values()].every(calls => calls.length <= options.maximumUpstreams), 'no request has more calls than attempts')
    await eventually(async () => await metricOf(fleet.entry, 'pollendyke_active_requests') === 0)
    t.equal(await metricOf(fleet.entry, 'pollendyke_upstream_requests'), 0, 'no slot remains in use')
    await delay(ejectionMilliseconds)
    if (!isReset) t.equal(await metricOf(fleet.entry, 'pollendyke_upstream_ejected'), 0, 'no upstream remains ejected')
    await fleet.stop()
  })
}

test('silent upstream: its call ends once the other upstream has gone on', async t => {
  const fleet = new StreamFleet({ upstreams: 2, maximumUpstreams: 2 }, async (call, number) => {
    if (number === 0) await hang(call)
    else {
      await delay(300)
      await call.sendUntil(4)
      await delay(1000)
      await call.finish(5)
    }
  })
  await fleet.start()
  const { result } = fleet.send('request-0')
  await eventually(async () => fleet.allCalls.length === 2)
  t.equal(fleet.allCalls[0]?.wasClosed, false, 'it goes on while the other one has sent nothing')
  await eventually(async () => fleet.allCalls[0]?.wasClosed === true)
  t.ok(isWhole(await result))
  await fleet.stop()
})

test('silent upstream: both calls end when the caller leaves', async t => {
  const fleet = new StreamFleet({ upstreams: 2, maximumUpstreams: 2 }, async (call, number) => { await (number === 0 ? hang(call) : undefined) })
  await fleet.start()
  const { outgoing, result } = fleet.send('request-0')
  await eventually(async () => fleet.allCalls.length === 2)
  t.same(fleet.allCalls.map(({ wasClosed }) => wasClosed), [false, false], 'both are in progress')
  const leftAt = performance.now()
  outgoing.destroy()
  await result
  await eventually(async () => fleet.allCalls.every(({ wasClosed }) => wasClosed))
  t.ok(fleet.allCalls.every(({ closedAt }) => closedAt - leftAt < 500))
  await eventually(async () => await metricOf(fleet.entry, 'pollendyke_active_requests') === 0)
  t.equal(await metricOf(fleet.entry, 'pollendyke_upstream_requests'), 0)
  t.equal(fleet.allCalls.length, 2)
  await fleet.stop()
})

test('silent upstream: a planned stop waits for it', async t => {
  const fleet = new StreamFleet({ upstreams: 1, maximumUpstreams: 1, stopGraceMilliseconds }, async call => { await pause(call, 1600) })
  await fleet.start()
  const { result } = fleet.send('request-0')
  await eventually(async () => fleet.allCalls.length === 1)
  let hasStopped = false
  const stopped = fleet.stop().then(() => { hasStopped = true })
  t.ok(isWhole(await result))
  t.notOk(hasStopped, 'the entry stops after its last request')
  await stopped
})

test('silent upstream: a request that hangs everywhere ends at its deadline', async t => {
  const fleet = new StreamFleet({ upstreams: 2, maximumUpstreams: 2, timeoutMilliseconds: 2500 }, hang)
  await fleet.start()
  const sentAt = performance.now()
  const { status, isComplete, text } = await fleet.send('request-0').result
  t.ok(performance.now() - sentAt > 2400)
  t.same({ status, isComplete }, { status: 200, isComplete: false })
  t.ok(completeText.startsWith(text))
  await eventually(async () => await metricOf(fleet.entry, 'pollendyke_upstream_requests') === 0)
  await fleet.stop()
})

const plainCases: readonly { readonly name: string, readonly maximumUpstreams: number, readonly script: Script, readonly calls: number }[] = [
  {
    name: 'both answer after 1.5 s',
    maximumUpstreams: 2,
    script: async call => {
      await delay(1500)
      call.answer(200, 'done')
    },
    calls: 2
  },
  {
    name: 'the first answers after 1.5 s, the second fails',
    maximumUpstreams: 2,
    script: async (call, number) => {
      if (number > 0) call.answer(500, 'failed')
      else {
        await delay(1500)
        call.answer(200, 'done')
      }
    },
    calls: 2
  },
  {
    name: 'the first answers after 1.5 s, the second refuses',
    maximumUpstreams: 2,
    script: async (call, number) => {
      if (number > 0) call.refuse(503)
      else {
        await delay(1500)
        call.answer(200, 'done')
      }
    },
    calls: 2
  },
  {
    name: 'the first never answers',
    maximumUpstreams: 2,
    script: (call, number) => { if (number > 0) call.answer(200, 'done') },
    calls: 2
  }
]

for (const { name, maximumUpstreams, script, calls } of plainCases) {
  test(`silent upstream, no stream: ${name}`, async t => {
    const fleet = new StreamFleet({ upstreams: 2, maximumUpstreams, kind: 'safe', timeoutMilliseconds: 4000 }, script)
    await fleet.start()
    const results = await fleet.sendAll(5)
    t.same(results, results.map(() => ({ status: 200, text: 'done', isComplete: true })))
    t.equal(fleet.allCalls.length, 5 * calls)
    await eventually(async () => await metricOf(fleet.entry, 'pollendyke_upstream_requests') === 0)
    await fleet.stop()
  })
}
