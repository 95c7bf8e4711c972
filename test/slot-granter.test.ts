/** An agent's answers to requests for slots of a ranked service, over time: guards against requests that are held and never answered, and against shares that an operator cannot see. */
import { test } from 'tap'
import { SlotGranter } from '../src/roles/weights/slot-granter.js'
import { Metrics } from '../src/plugins/metrics.js'
import type { DatagramSocket } from '../src/transports/datagrams.js'
import type { NodeMessage, SlotOrder, SlotRequest } from '../src/types/node-messages.js'
import type { EngineReport } from '../src/types/fleet.js'

const order: SlotOrder = { rank: 0, organisation: 'a', share: 2, work: 100, isRetry: false, remainingMilliseconds: 5000 }
const requestOf = (number: number, fields: Partial<SlotOrder> = {}): SlotRequest => ({ kind: 'slot-request', number, limit: 2, order: { ...order, ...fields } })

class Answers {
  readonly sent: { readonly message: NodeMessage, readonly ip: string }[] = []
  readonly metrics = new Metrics()
  readonly granter = new SlotGranter({ send: (message: NodeMessage, ip: string) => { this.sent.push({ message, ip }) } } as DatagramSocket, this.metrics)

  report (running: number): void {
    this.granter.recordReport({ running, waiting: 0 } as EngineReport, true)
  }

  async until (count: number): Promise<readonly (readonly unknown[])[]> {
    for (let waits = 0; this.sent.length < count && waits < 400; waits += 1) await new Promise(resolve => setTimeout(resolve, 5))
    return this.sent.map(({ message, ip }) => message.kind === 'slot-reply' ? [ip, message.number, message.isGranted] : [])
  }
}

test('slot granter: a held request is denied in time, and a slot that is given back goes to the most urgent one that is held', async t => {
  const answers = new Answers()
  answers.report(1)
  answers.granter.answer(requestOf(1), '10.0.0.1')
  t.same(await answers.until(1), [['10.0.0.1', 1, true]], 'a free slot')
  answers.granter.answer(requestOf(7, { rank: 4 }), '10.0.0.2')
  answers.granter.answer(requestOf(8, { organisation: 'b' }), '10.0.0.3')
  answers.granter.release({ kind: 'slot-release', number: 1 }, '10.0.0.1')
  t.same((await answers.until(3)).slice(1), [['10.0.0.3', 8, true], ['10.0.0.2', 7, false]])
  t.equal(answers.metrics.valueOf('slot_answers_total', { result: 'granted' }), 2)
  t.equal(answers.metrics.valueOf('slot_answers_total', { result: 'denied' }), 1)
  answers.granter.stop()
})

test('slot granter: requests without an order, or with one that cannot be right, are answered at once', async t => {
  const answers = new Answers()
  answers.report(2)
  answers.granter.answer({ kind: 'slot-request', number: 1, limit: 2 }, '10.0.0.1')
  answers.granter.answer(requestOf(2, { rank: -3 }), '10.0.0.1')
  t.same(await answers.until(0), [['10.0.0.1', 1, false], ['10.0.0.1', 2, false]])
  answers.granter.stop()
})

test('slot granter: shares and use of organisations are shown', async t => {
  const answers = new Answers()
  answers.report(0)
  answers.granter.answer(requestOf(1), '10.0.0.1')
  for (let waits = 0; waits < 250 && answers.metrics.valueOf('organisation_share', { organisation: 'a' }) === 0; waits += 1) {
    answers.report(0)
    await new Promise(resolve => setTimeout(resolve, 10))
  }
  t.equal(answers.metrics.valueOf('organisation_share', { organisation: 'a' }), 2)
  t.ok(answers.metrics.valueOf('organisation_granted_tokens', { organisation: 'a' }) > 0)
  answers.granter.stop()
})
