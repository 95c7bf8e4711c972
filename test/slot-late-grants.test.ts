/** A slot that an agent granted is used only while the agent still counts the grant, whenever its answer arrives. */
import { test } from 'tap'
import { SlotLedger } from '../src/core/dispatch/slot-ledger.js'
import { SlotRequests, SlotSearch } from '../src/core/dispatch/slot-requests.js'

const [limit, now] = [8, 10_000]

interface Case {
  readonly name: string
  /** Times from the question, milliseconds: when the agent answers, when the answer arrives, and when the entry looks for a slot. */
  readonly grantedAfter: number
  readonly receivedAfter: number
  readonly usedAfter: number
  readonly isHeld: boolean
}

const cases: readonly Case[] = [
  { name: 'an answer at once', grantedAfter: 0, receivedAfter: 1, usedAfter: 2, isHeld: true },
  { name: 'an answer of another region', grantedAfter: 10, receivedAfter: 20, usedAfter: 25, isHeld: true },
  { name: 'an answer that was slow on its way', grantedAfter: 1, receivedAfter: 38, usedAfter: 50, isHeld: false },
  { name: 'an answer that arrives when it is no longer waited for', grantedAfter: 1, receivedAfter: 45, usedAfter: 46, isHeld: false },
  { name: 'an answer that a paused entry reads after its pause', grantedAfter: 1, receivedAfter: 4000, usedAfter: 4001, isHeld: false },
  { name: 'an answer of a paused agent', grantedAfter: 3990, receivedAfter: 4000, usedAfter: 4001, isHeld: false }
]

for (const { name, grantedAfter, receivedAfter, usedAfter, isHeld } of cases) {
  test(`late grants: ${name}`, async t => {
    const requests = new SlotRequests()
    const ledger = new SlotLedger()
    const number = requests.ask(new SlotSearch(), 'i-1', now)
    ledger.recordCount(limit - 1, now + grantedAfter)
    const answer = ledger.answer('entry', limit, now + grantedAfter)
    if (answer === undefined) throw new Error('the agent did not answer')
    t.ok(answer.isGranted)
    requests.receive(number, answer, now + receivedAfter)
    t.equal(requests.heldAt('i-1', limit, now + usedAfter) !== undefined, isHeld)
  })
}
