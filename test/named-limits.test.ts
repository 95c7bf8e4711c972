/** What an entry knows of the limits that upstreams name, when answers and messages overtake each other. */
import { test } from 'tap'
import { NamedLimits } from '../src/core/dispatch/named-limits.js'

const [id, startedAt] = ['i-1', 1000]
const limitOf = (limits: NamedLimits, now: number): number | undefined => limits.describe(id, startedAt, now)?.perSecond

interface Answer { readonly perSecond?: number, readonly sentAt: number, readonly now: number, readonly startedAt?: number }
interface Message { readonly perSecond?: number, readonly ageMilliseconds: number, readonly now: number, readonly startedAt?: number }
type Step = { readonly answer: Answer } | { readonly message: Message }

const cases: readonly { readonly name: string, readonly steps: readonly Step[], readonly limit: number | undefined }[] = [
  { name: 'no limit', steps: [{ answer: { sentAt: 0, now: 10 } }], limit: undefined },
  { name: 'a named limit', steps: [{ answer: { perSecond: 2, sentAt: 0, now: 10 } }], limit: 2 },
  { name: 'a lower limit applies at once', steps: [{ answer: { perSecond: 2, sentAt: 0, now: 100 } }, { answer: { perSecond: 1, sentAt: 50, now: 110 } }], limit: 1 },
  { name: 'a higher limit in an answer that was overtaken', steps: [{ answer: { perSecond: 1, sentAt: 50, now: 100 } }, { answer: { perSecond: 2, sentAt: 40, now: 110 } }], limit: 1 },
  { name: 'a higher limit in a later answer', steps: [{ answer: { perSecond: 1, sentAt: 50, now: 100 } }, { answer: { perSecond: 2, sentAt: 101, now: 110 } }], limit: 2 },
  { name: 'no limit in an answer that was overtaken', steps: [{ answer: { perSecond: 1, sentAt: 50, now: 100 } }, { answer: { sentAt: 99, now: 110 } }], limit: 1 },
  { name: 'no limit in a later answer', steps: [{ answer: { perSecond: 1, sentAt: 50, now: 100 } }, { answer: { sentAt: 101, now: 110 } }], limit: undefined },
  { name: 'a later answer is overtaken by another one with the limit', steps: [{ answer: { perSecond: 1, sentAt: 50, now: 100 } }, { answer: { perSecond: 1, sentAt: 60, now: 130 } }, { answer: { sentAt: 101, now: 140 } }], limit: 1 },
  { name: 'a restarted upstream names none', steps: [{ answer: { perSecond: 1, sentAt: 50, now: 100, startedAt: 900 } }], limit: undefined },
  { name: 'a limit heard from another entry', steps: [{ message: { perSecond: 2, ageMilliseconds: 50, now: 100 } }], limit: 2 },
  { name: "another entry's limit of an earlier process", steps: [{ message: { perSecond: 2, ageMilliseconds: 50, now: 100, startedAt: 900 } }], limit: undefined },
  { name: 'an older limit of another entry', steps: [{ answer: { perSecond: 2, sentAt: 0, now: 1000 } }, { message: { perSecond: 1, ageMilliseconds: 500, now: 1100 } }], limit: 2 },
  { name: 'a limit of another entry that was lifted since', steps: [{ answer: { perSecond: 2, sentAt: 0, now: 10 } }, { answer: { sentAt: 1000, now: 1010 } }, { message: { perSecond: 2, ageMilliseconds: 900, now: 1100 } }], limit: undefined },
  { name: 'a lifted limit heard much later', steps: [{ answer: { perSecond: 2, sentAt: 0, now: 10 } }, { message: { ageMilliseconds: 50, now: 1100 } }], limit: undefined },
  { name: 'a lifted limit heard within the delay of messages', steps: [{ answer: { perSecond: 2, sentAt: 0, now: 1000 } }, { message: { ageMilliseconds: 50, now: 1100 } }], limit: 2 }
]

for (const { name, steps, limit } of cases) {
  test(`named limits: ${name}`, async t => {
    const limits = new NamedLimits()
    for (const step of steps) {
      if ('answer' in step) limits.observe(id, { startedAt, perSecond: undefined, ...step.answer })
      else limits.merge({ upstreamId: id, startedAt, perSecond: undefined, ...step.message }, startedAt, step.message.now)
    }
    t.equal(limitOf(limits, 2000), limit)
  })
}

const rates: readonly { readonly name: string, readonly perSecond: number, readonly liftedAt?: number, readonly at: number, readonly rate: number | undefined }[] = [
  { name: 'the named one', perSecond: 2, at: 100, rate: 2 },
  { name: 'trials for an upstream that takes nothing', perSecond: 0, at: 100, rate: 0.1 },
  { name: 'the limit when it has just been lifted', perSecond: 2, liftedAt: 1000, at: 1000, rate: 2 },
  { name: 'twice the limit 400 ms later', perSecond: 2, liftedAt: 1000, at: 1400, rate: 4 },
  { name: 'any number 2.4 s later', perSecond: 2, liftedAt: 1000, at: 3400, rate: undefined }
]

for (const { name, perSecond, liftedAt, at, rate } of rates) {
  test(`named limits: the rate is ${name}`, async t => {
    const limits = new NamedLimits()
    limits.observe(id, { startedAt, perSecond, sentAt: 0, now: 10 })
    if (liftedAt !== undefined) limits.observe(id, { startedAt, perSecond: undefined, sentAt: liftedAt, now: liftedAt })
    t.equal(limits.rateOf(id, startedAt, at), rate)
  })
}

test('named limits: a lifted limit is told to others for a while', async t => {
  const limits = new NamedLimits()
  limits.observe(id, { startedAt, perSecond: 2, sentAt: 0, now: 10 })
  limits.observe(id, { startedAt, perSecond: undefined, sentAt: 20, now: 30 })
  t.same(limits.all(40), [{ upstreamId: id, startedAt, perSecond: undefined, ageMilliseconds: 20 }])
  t.same(limits.all(20_000), [])
})
