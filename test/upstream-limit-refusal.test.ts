/** A request that only a named limit prevents is refused at once if the next permit comes too late for it, and waits otherwise. */
import { test } from 'tap'
import { queueDeadline, type QueueingContext } from '../src/core/dispatch/queueing.js'

const onTime: QueueingContext = { now: 1000, arrivedAt: 1000, deadline: 7000, goalMilliseconds: 400, isLate: false, reason: 'limited', expectedAt: undefined, waiting: 0 }

const cases: readonly { readonly name: string, readonly context: Partial<QueueingContext>, readonly until: number | undefined }[] = [
  { name: 'a permit that was asked for and not answered yet', context: {}, until: 1100 },
  { name: 'a permit soon', context: { expectedAt: 1050 }, until: 1080 },
  { name: 'a request with too little time for other queues, no answer yet', context: { deadline: 2000 }, until: 1100 },
  { name: 'a deadline before the answer', context: { deadline: 1050 }, until: 1050 },
  { name: 'a permit after the time in the queue', context: { expectedAt: 1500 }, until: undefined },
  { name: 'a late request, a permit soon enough', context: { isLate: true, expectedAt: 1500 }, until: 2200 },
  { name: 'a late request, no permit for seconds', context: { isLate: true, expectedAt: 4000 }, until: undefined },
  { name: 'a deadline before the next permit', context: { isLate: true, deadline: 2600, expectedAt: 1500 }, until: undefined },
  { name: 'a queue that is full', context: { waiting: 8 }, until: undefined }
]

for (const { name, context, until } of cases) {
  test(`upstream limit refusal: ${name}`, async t => { t.equal(queueDeadline({ ...onTime, ...context }), until) })
}
