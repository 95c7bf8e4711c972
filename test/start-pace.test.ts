/** Starts and recoveries of upstreams: the allowance by itself, and entries with real pools before simulated upstreams. */
import { createHash } from 'node:crypto'
import { test } from 'tap'
import { ColdGrants } from '../src/core/dispatch/cold-rate.js'
import { allowanceAt, beginPace, ownPart, paceAfterAnswer, paceAfterFailure, paceAfterRefusal, updateUsual, type StartPace } from '../src/core/dispatch/start-pace.js'
import { decodeMessage, encodeMessage } from '../src/transports/datagrams.js'
import { coldMaximum, coldPerSecond, replayStart, type StartEvent, type StartPlan } from './fakes/start-replay.js'

const events: readonly StartEvent[] = ['start', 'ejection', 'unresponsiveness', 'rest', 'cut', 'swap', 'fails-again']
const began = beginPace('start', 12, 1000)
const answer = (milliseconds: number, sentAt = 1000): Parameters<typeof paceAfterAnswer>[1] => ({ sentAt, now: sentAt + milliseconds, usualMilliseconds: 50 })

const paceCases: readonly { readonly name: string, readonly pace: StartPace, readonly is: number }[] = [
  { name: 'begins with a quarter of the slots', pace: began, is: 3 },
  { name: 'begins with half of them after a swap of weights', pace: beginPace('swap', 12, 1000), is: 6 },
  { name: 'begins with one request at an upstream of two slots', pace: beginPace('start', 2, 1000), is: 1 },
  { name: 'doubles with a usual answer', pace: paceAfterAnswer(began, answer(60)), is: 6 },
  { name: 'does not grow with an answer to a request from before the last change', pace: paceAfterAnswer(paceAfterAnswer(began, answer(60)), answer(60)), is: 6 },
  { name: 'halves with a slow answer', pace: paceAfterAnswer(paceAfterAnswer(began, answer(60)), answer(200, 1100)), is: 3 },
  { name: 'grows again with the second answer of an upstream that is always slow', pace: paceAfterAnswer(paceAfterAnswer(began, answer(200)), answer(210, 1210)), is: 2.5 },
  { name: 'halves with a refusal', pace: paceAfterRefusal(began, 1000, 1010), is: 1.5 },
  { name: 'falls to one request with a failure', pace: paceAfterFailure(began, 1000, 1010), is: 1 },
  { name: 'grows by one a round above the level of the last fall', pace: paceAfterAnswer(paceAfterRefusal(paceAfterAnswer(began, answer(60)), 1100, 1110), answer(60, 1200)), is: 4 }
]

for (const { name, pace, is } of paceCases) {
  test(`start pace: ${name}`, async t => { t.equal(pace.allowance, is) })
}

test('start pace: without answers of its own an entry lets the allowance grow with the time, but not while it waits for one', async t => {
  t.equal(allowanceAt(began, 0, 50, 1200), 12)
  t.equal(allowanceAt(began, 1, 50, 1200), 3)
  t.equal(allowanceAt(beginPace('ejection', 12, 5000), 0, 50, 1200), 3, 'not before its beginning')
})

test('start pace: the parts of all entries are the whole allowance', async t => {
  for (const entries of [1, 8, 67, 300]) {
    for (const allowance of [1, 3.7, 12]) {
      const parts = Array.from({ length: entries }, (_, rank) => ownPart(allowance, rank, entries))
      t.equal(parts.reduce((sum, part) => sum + part, 0), Math.floor(allowance))
    }
  }
})

test('start pace: one answer in ten that is ten times as slow changes the usual time by less than a tenth', async t => {
  let usual: number | undefined
  for (let index = 0; index < 300; index += 1) usual = updateUsual(usual, index % 10 === 9 ? 500 : 50)
  t.ok(usual !== undefined && usual > 45 && usual < 55, String(usual))
})

test('start pace: an agent counts its grants before the first entry says that its engine is cold', async t => {
  const grants = new ColdGrants()
  for (let index = 0; index < 5; index += 1) grants.record(`g-${index}`, 100)
  t.equal(grants.mayGrant(undefined, 110), true)
  t.equal(grants.mayGrant(5, 110), false)
  t.equal(grants.mayGrant(undefined, 120), false, 'nor for an entry that does not know of the start yet')
  grants.release('g-0')
  t.equal(grants.mayGrant(5, 120), true, 'a slot that was not used is granted again')
  t.equal(grants.mayGrant(undefined, 1250), true, 'no longer cold')
})

test('start pace: the limit of a cold engine passes between nodes, with and without an order', async t => {
  const order = { rank: 1, organisation: 'o', share: 1, work: 10, isRetry: false, remainingMilliseconds: 100 }
  for (const message of [{ kind: 'slot-request', number: 1, limit: 8, coldLimit: 44 }, { kind: 'slot-request', number: 1, limit: 8, order, coldLimit: 44 }] as const) t.same(decodeMessage(encodeMessage(message)), message)
})

interface ReplayCase extends Omit<StartPlan, 'decisions' | 'seed'> {
  /** Longest time until the upstream carries its share, milliseconds. */
  readonly shareWithin: number
  /** Whether a cold plain upstream is to get over half of its rate; before 300 entries its permits leave it below its share until it is warm. */
  readonly isUsed?: boolean
}

const engines: readonly ReplayCase[] = [8, 67, 300].flatMap(entries => events.map(event => ({ event, entries, isEngine: true, shareWithin: 300 })))
const disturbed: readonly ReplayCase[] = [8, 67, 300].flatMap(entries => [
  { event: 'start', entries, isEngine: true, killedShare: 0.3, shareWithin: 300 },
  { event: 'start', entries, isEngine: true, joiningShare: 0.3, shareWithin: 300 },
  { event: 'start', entries, isEngine: true, cutShare: 0.3, shareWithin: 300 },
  { event: 'start', entries, isEngine: false, cutShare: 0.3, shareWithin: Infinity },
  { event: 'start', entries, isEngine: true, lostShare: 0.2, shareWithin: Infinity },
  { event: 'start', entries, isEngine: true, isAgentKilled: true, shareWithin: 300 },
  { event: 'start', entries, isEngine: true, slowness: 2.2, shareWithin: 600 },
  { event: 'start', entries, isEngine: false, shareWithin: entries === 300 ? Infinity : 1000, isUsed: true },
  { event: 'start', entries, isEngine: false, killedShare: 0.3, shareWithin: Infinity },
  { event: 'start', entries, isEngine: false, joiningShare: 0.3, shareWithin: Infinity }
] as const)

for (const { shareWithin, isUsed, ...plan } of [...engines, ...disturbed]) {
  const { event, entries, isEngine, slowness, killedShare, joiningShare, cutShare, lostShare, isAgentKilled } = plan
  const what = Object.entries({ slowness, killedShare, joiningShare, cutShare, lostShare, isAgentKilled }).flatMap(([key, value]) => value === undefined ? [] : [`${key} ${String(value)}`]).join(', ')
  test(`start replay: ${event} of ${isEngine ? 'an engine' : 'a plain upstream'} before ${entries} entries ${what}`, async t => {
    const outcome = replayStart({ ...plan, decisions: 'adaptive', seed: 1 })
    t.ok(outcome.shareMilliseconds <= shareWithin, `carries its share after ${outcome.shareMilliseconds} ms`)
    if (event !== 'start') return
    t.ok(outcome.busiestSecond <= coldMaximum, `${outcome.busiestSecond} requests in one second`)
    if (isUsed === true) t.ok(outcome.coldPerSecond >= 0.55 * coldPerSecond, `${outcome.coldPerSecond} requests a second`)
    if (!isEngine || isAgentKilled === true || slowness !== undefined) return
    if (lostShare === undefined && cutShare === undefined) t.ok(outcome.coldPerSecond >= 0.9 * coldPerSecond, `${outcome.coldPerSecond} requests a second`)
    const flood = replayStart({ ...plan, decisions: 'flood', seed: 1 })
    t.ok(outcome.worstFirstEventMilliseconds < flood.worstFirstEventMilliseconds / 2, `worst first event ${outcome.worstFirstEventMilliseconds} ms, ${flood.worstFirstEventMilliseconds} ms at full rate from the start`)
  })
}

/** SHA-256 of the upstreams in the order of their requests, as the code of b4f5792 chose them in the same replay. */
const chosenBefore: Readonly<Record<StartEvent, readonly [engine: string, plain: string]>> = {
  start: ['31409051c6d0426e', '792a3bbffbf48f6f'],
  ejection: ['2f7e82ac73fb2cb1', 'cc4dfa9ed515defa'],
  unresponsiveness: ['a7a24ae125b4dfc5', 'e158320ab0701f83'],
  rest: ['2f4b55e79ce53ca9', 'caa9563817c65549'],
  cut: ['a8c542d4c519de9a', 'e7c47933e1c3738b'],
  swap: ['843439be6123c8a5', 'e7c47933e1c3738b'],
  'fails-again': ['7813ea2665bac198', 'c0a519302fb86b7c']
}

for (const event of events) {
  test(`start replay: a service that is not adaptive chooses the same upstreams as before after ${event}`, async t => {
    const chosen = [true, false].map(isEngine => createHash('sha256').update(replayStart({ event, decisions: 'basic', entries: 8, seed: 3, isEngine }).sent.join(',')).digest('hex').slice(0, 16))
    t.same(chosen, chosenBefore[event])
  })
}
