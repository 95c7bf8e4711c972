/** When another upstream is asked beside silent ones, and which call answers. */
import { test } from 'tap'
import type { RequestProgress } from '../src/core/dispatch/next-step.js'
import { mayTakeOver, stepAfterEnd, type CallYield, type EndStep, type OpenCall } from '../src/core/dispatch/takeover.js'
import { initialHealth, updateHealth, type CallOutcome } from '../src/core/dispatch/upstream-health.js'
import type { Route } from '../src/types/fleet.js'

const route: Route = { name: 'r', host: 'a.example', pathPrefix: '/r/', kind: 'stream', isResumable: true, timeoutMilliseconds: 8000, latencyGoalMilliseconds: 300, eventGapGoalMilliseconds: 400, priority: 1, targets: [], maximumUpstreams: 3, isPublic: true, regions: [] }
const progress: RequestProgress = { route, withdrawn: 0, ran: 0, refused: 0, hasBegun: true, isPastDeadline: false, hasBudget: true }
const silent: OpenCall = { isSilent: true }
const active: OpenCall = { isSilent: false }
const withRoute = (changes: Partial<Route>): Partial<RequestProgress> => ({ route: { ...route, ...changes } })

const takeoverCases: readonly { readonly name: string, readonly progress?: Partial<RequestProgress>, readonly calls: readonly OpenCall[], readonly ended?: number, readonly expected: boolean }[] = [
  { name: 'one silent call', calls: [silent], expected: true },
  { name: 'one silent call before the first event', progress: { hasBegun: false }, calls: [silent], expected: true },
  { name: 'two silent calls, a third attempt', calls: [silent, silent], expected: true },
  { name: 'no call', calls: [], expected: false },
  { name: 'a call that sends', calls: [active], expected: false },
  { name: 'a silent call beside one that may send', calls: [silent, active], expected: false },
  { name: 'all attempts in progress', calls: [silent, silent, silent], expected: false },
  { name: 'all attempts ended or in progress', progress: { ran: 2 }, calls: [silent], expected: false },
  { name: 'withdrawn from two others', progress: { withdrawn: 2 }, calls: [silent], expected: false },
  { name: 'withdrawn from another one', progress: { withdrawn: 1 }, calls: [silent], expected: true },
  { name: 'one that ended at the same time as a counted one', progress: { ran: 1 }, calls: [silent], ended: 1, expected: false },
  { name: 'one that ended and is not counted, a third attempt', calls: [silent], ended: 1, expected: true },
  { name: 'a refusal is no attempt', progress: { ran: 1, refused: 1 }, calls: [silent], expected: true },
  { name: 'three refusals', progress: { refused: 3 }, calls: [silent], expected: false },
  { name: 'one attempt', progress: withRoute({ maximumUpstreams: 1 }), calls: [silent], expected: false },
  { name: 'a stream that cannot be resumed', progress: withRoute({ isResumable: false }), calls: [silent], expected: false },
  { name: 'a request that runs once', progress: withRoute({ kind: 'once' }), calls: [silent], expected: false },
  { name: 'an idempotent request', progress: withRoute({ kind: 'idempotent' }), calls: [silent], expected: true },
  { name: 'past the deadline', progress: { isPastDeadline: true }, calls: [silent], expected: false }
]

for (const { name, progress: changes, calls, ended = 0, expected } of takeoverCases) {
  test(`takeover: ${name}`, async t => { t.equal(mayTakeOver({ ...progress, ...changes }, calls, ended), expected) })
}

const endCases: readonly { readonly name: string, readonly progress?: Partial<RequestProgress>, readonly yielded: CallYield, readonly others: number, readonly expected: EndStep }[] = [
  { name: 'an answer', yielded: 'usable', others: 0, expected: 'deliver' },
  { name: 'an answer beside others', yielded: 'usable', others: 2, expected: 'deliver' },
  { name: 'a loss', yielded: 'none', others: 0, expected: 'decide' },
  { name: 'a loss beside others', yielded: 'none', others: 1, expected: 'await-others' },
  { name: 'an error beside others', yielded: 'error', others: 1, expected: 'await-others' },
  { name: 'an error beside others on the last attempt', progress: { ran: 2 }, yielded: 'error', others: 1, expected: 'await-others' },
  { name: 'an error', yielded: 'error', others: 0, expected: 'decide' },
  { name: 'an error on the last attempt', progress: { ran: 2 }, yielded: 'error', others: 0, expected: 'deliver' },
  { name: 'an error on the last attempt, after two withdrawals', progress: { withdrawn: 2 }, yielded: 'error', others: 0, expected: 'deliver' },
  { name: 'an error past the deadline', progress: { isPastDeadline: true }, yielded: 'error', others: 0, expected: 'deliver' },
  { name: 'an error of a request that runs once', progress: withRoute({ kind: 'once' }), yielded: 'error', others: 0, expected: 'deliver' }
]

for (const { name, progress: changes, yielded, others, expected } of endCases) {
  test(`end of a call: ${name}`, async t => { t.equal(stepAfterEnd({ ...progress, ...changes }, yielded, others), expected) })
}

/** Outcomes, each with the times at which its call was sent and ended, milliseconds. */
const healthCases: readonly { readonly name: string, readonly seen: ReadonlyArray<readonly [CallOutcome, number, number]>, readonly ejectedUntil: number }[] = [
  { name: 'one silent call', seen: [['silent', 0, 1000]], ejectedUntil: 0 },
  { name: 'two silent calls', seen: [['silent', 0, 1000], ['silent', 0, 1100]], ejectedUntil: 1600 },
  { name: 'many calls of one pause, cancelled one after another', seen: Array.from({ length: 40 }, (_, index) => ['silent', 0, 1000 + 20 * index] as const), ejectedUntil: 1520 },
  { name: 'a hang: calls sent after the ejection are silent again', seen: [['silent', 0, 1000], ['silent', 0, 1000], ['silent', 1600, 2900], ['silent', 4000, 5300]], ejectedUntil: 7300 },
  { name: 'an answer ends it', seen: [['silent', 0, 1000], ['silent', 0, 1000], ['good', 0, 1100]], ejectedUntil: 0 }
]

for (const { name, seen, ejectedUntil } of healthCases) {
  test(`health, silent upstream: ${name}`, async t => {
    const health = seen.reduce((before, [outcome, sentAt, endedAt]) => updateHealth(before, outcome, endedAt, sentAt), initialHealth)
    t.same({ ejectedUntil: health.ejectedUntil, errorShare: health.errorShare }, { ejectedUntil, errorShare: 0 })
  })
}
