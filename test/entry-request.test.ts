/** Tests of the checks on a caller's request and on an engine's answer, of claim keys, and of first-byte times. */
import { test } from 'tap'
import { checkRequest, isRefused, type RawRequest } from '../src/core/caller-request.js'
import { FirstByteTracker } from '../src/core/first-byte-tracker.js'
import { classifyLine } from '../src/core/answer-lines.js'
import { claimKey } from '../src/core/claims.js'
import type { Service } from '../src/types/configuration.js'

const bounds = { coldBound: 1, fullBound: 2, firstByteTargetMilliseconds: 100 }
const model: Service = { kind: 'model', ...bounds, fencing: 'checked' }
const plain: Service = { kind: 'plain', ...bounds, nonIdempotent: ['sign-off'] }
const now = 1_000_000
const validRequest: RawRequest = { id: 'one', service: 'citations', operation: 'completions', organisation: 'troop', deadline: '', idempotencyKey: '', prefix: '', traceParent: '', body: Buffer.from('{"prompt":"a hike","maximumTokens":3}') }

const requestCases: readonly { readonly name: string, readonly service: Service, readonly change: Partial<RawRequest>, readonly places: readonly string[] }[] = [
  { name: 'a valid request for a model', service: model, change: {}, places: [] },
  { name: 'a body that is not JSON', service: model, change: { body: Buffer.from('{') }, places: ['body'] },
  { name: 'a body without fields', service: model, change: { body: Buffer.from('{}') }, places: ['body.prompt', 'body.maximumTokens'] },
  { name: 'a maximum of no tokens', service: model, change: { body: Buffer.from('{"prompt":"a","maximumTokens":0}') }, places: ['body.maximumTokens'] },
  { name: 'an unknown operation of a model', service: model, change: { operation: 'train' }, places: ['path'] },
  { name: 'a deadline that is not a number', service: model, change: { deadline: 'soon' }, places: ['header pollendyke-deadline'] },
  { name: 'a deadline in a week', service: model, change: { deadline: String(now + 7 * 86_400_000) }, places: ['header pollendyke-deadline'] },
  { name: 'several findings together', service: model, change: { deadline: '-1', body: Buffer.from('1') }, places: ['header pollendyke-deadline', 'body'] },
  { name: 'a sign-off without a key', service: plain, change: { operation: 'sign-off' }, places: ['header idempotency-key'] },
  { name: 'a sign-off with a key of 255 characters', service: plain, change: { operation: 'sign-off', idempotencyKey: 'k'.repeat(255) }, places: [] },
  { name: 'a sign-off with a key of 256 characters', service: plain, change: { operation: 'sign-off', idempotencyKey: 'k'.repeat(256) }, places: ['header idempotency-key'] },
  { name: 'a key with a space', service: plain, change: { operation: 'sign-off', idempotencyKey: 'a b' }, places: ['header idempotency-key'] },
  { name: 'a lookup without a key', service: plain, change: { operation: 'lookup', body: Buffer.from('anything') }, places: [] }
]

for (const { name, service, change, places } of requestCases) {
  test(`request validation: ${name}`, async t => {
    const checked = checkRequest({ ...validRequest, ...change }, { service, now, defaultDeadline: now + 1 })
    t.same(isRefused(checked) ? checked.map(({ place }) => place) : [], places)
  })
}

const progress = { id: 'one', weights: 'w', next: 2 }
const token = { type: 'token', id: 'one', index: 2, token: 'x', weights: 'w' }
const end = { type: 'end', id: 'one', tokens: 2, weights: 'w', reason: 'complete' }
const lineCases: readonly { readonly name: string, readonly line: unknown, readonly kind: string }[] = [
  { name: 'the next token', line: token, kind: 'token' },
  { name: 'the end after all tokens', line: end, kind: 'end' },
  { name: 'a token of another request', line: { ...token, id: 'two' }, kind: 'wrong' },
  { name: 'a token of other weights', line: { ...token, weights: 'v' }, kind: 'wrong' },
  { name: 'a token after a gap', line: { ...token, index: 3 }, kind: 'wrong' },
  { name: 'a repeated token', line: { ...token, index: 1 }, kind: 'wrong' },
  { name: 'an end with a wrong token count', line: { ...end, tokens: 3 }, kind: 'wrong' },
  { name: 'an end of other weights', line: { ...end, weights: 'v' }, kind: 'wrong' },
  { name: 'an end after a cancellation', line: { ...end, reason: 'cancelled' }, kind: 'cancelled' },
  { name: 'an unknown type', line: { ...token, type: 'note' }, kind: 'wrong' },
  { name: 'a line that is no object', line: 3, kind: 'wrong' }
]

for (const { name, line, kind } of lineCases) {
  test(`answer line: ${name} is classified as ${kind}`, async t => {
    t.equal(classifyLine(progress, JSON.stringify(line)).kind, kind)
  })
}

test('the claim key depends on where its parts begin and end', async t => {
  t.equal(claimKey('a', 'b', 'c', 'd'), claimKey('a', 'b', 'c', 'd'))
  t.not(claimKey('a', 'b', 'c', 'd'), claimKey('ab', '', 'c', 'd'))
  t.match(claimKey('a', 'b', 'c', 'd'), /^[0-9a-f]{64}$/)
})

const firstByteCases: readonly { readonly name: string, readonly samples: ReadonlyArray<readonly [milliseconds: number, at: number]>, readonly at: number, readonly earliest: number }[] = [
  { name: 'no sample', samples: [], at: 100, earliest: 1 },
  { name: 'one sample', samples: [[40, 0]], at: 100, earliest: 41 },
  { name: 'several samples', samples: [[40, 0], [30, 5000], [50, 9000]], at: 9500, earliest: 31 },
  { name: 'a sample of the previous window', samples: [[40, 0]], at: 15_000, earliest: 41 },
  { name: 'an expired sample', samples: [[40, 0]], at: 25_000, earliest: 1 },
  { name: 'slower samples after an expired fast one', samples: [[10, 0], [40, 12_000], [45, 22_000]], at: 23_000, earliest: 41 }
]

for (const { name, samples, at, earliest } of firstByteCases) {
  test(`first-byte times, ${name}: the earliest deadline that can be met is in ${earliest} ms`, async t => {
    const tracker = new FirstByteTracker()
    for (const [milliseconds, when] of samples) tracker.record('s', milliseconds, when)
    t.equal(tracker.canMeet('s', at + earliest, at), true)
    t.equal(tracker.canMeet('s', at + earliest - 1, at), false)
    t.equal(tracker.canMeet('another', at + 1, at), true)
  })
}
