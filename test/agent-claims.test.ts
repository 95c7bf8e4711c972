import { test } from 'tap'
import { claimKey } from '../src/core/claims.js'
import { ServiceStandIn } from '../stand-in/service.js'
import { SlotWorld, type Slot } from './fakes/slot.js'
import { eventually } from './fakes/test-cluster.js'

interface AgentPair { readonly world: SlotWorld, readonly services: readonly [ServiceStandIn, ServiceStandIn], readonly slots: readonly [Slot, Slot] }

async function withPair (work: (pair: AgentPair) => Promise<void>): Promise<void> {
  const world = await SlotWorld.start()
  const services = [new ServiceStandIn(), new ServiceStandIn()] as const
  try {
    const slots = [await world.addLedger(services[0]), await world.addLedger(services[1])] as const
    await work({ world, services, slots })
  } finally {
    world.log.faults.outage = false
    await world.stop()
  }
}

function runCountOf (services: readonly ServiceStandIn[], key: string): number {
  return services.reduce((sum, service) => sum + service.register.filter(line => line.key === key).length, 0)
}

test('a key sent to both agents at once runs once, and the other agent names the holder', async t => {
  await withPair(async ({ world, services, slots }) => {
    for (let round = 0; round < 10; round += 1) {
      const key = `key-${round}`
      const answers = await Promise.all(slots.map(async (slot, index) => await world.call(slot, { id: `${key}-${index}`, key })))
      t.equal(runCountOf(services, key), 1)
      const refused = answers.find(answer => answer.failure === 'claim-lost')
      const holderIndex = answers.findIndex(answer => answer.outcome === 'run')
      t.equal(answers.filter(answer => answer.outcome === 'run').length, 1)
      t.equal(refused?.claimHolder, slots[holderIndex]?.control)
    }
  })
})

test('a resend to the holder gets the same answer, and another body is refused by every agent', async t => {
  await withPair(async ({ world, services, slots: [holder, other] }) => {
    const first = await world.call(holder, { id: 'first', key: 'k' })
    const again = await world.call(holder, { id: 'again', key: 'k' })
    t.equal(again.text, first.text)
    t.equal((await world.call(holder, { id: 'changed', key: 'k', body: '{"other":1}' })).failure, 'key-reused')
    t.equal((await world.call(other, { id: 'moved', key: 'k', body: '{"other":1}' })).failure, 'key-reused')
    t.equal((await world.call(other, { id: 'elsewhere', key: 'k' })).failure, 'claim-lost')
    t.equal(runCountOf(services, 'k'), 1)
    t.equal(await world.outcomeOf(holder, '', claimKey('troop', 'ledger', 'sign-off', 'k')), 'run')
    t.equal(await world.outcomeOf(holder, 'first'), 'run')
    const { incarnation } = await world.statusOf(other)
    t.equal(await world.outcomeOf(other, 'never sent', '', 'another'), 'unknown')
    t.equal(await world.outcomeOf(other, 'never sent', '', incarnation), 'not-run')
    t.equal((await world.call(other, { id: 'never sent', operation: 'look-up' })).outcome, 'not-run')
  })
})

test('a resend while the first request is running waits for its answer', async t => {
  await withPair(async ({ world, services, slots: [holder] }) => {
    services[0].behaviour.workMilliseconds = 300
    const first = world.call(holder, { id: 'first', key: 'k' })
    await eventually(() => runCountOf(services, 'k') === 1)
    const again = await world.call(holder, { id: 'again', key: 'k' })
    t.equal(again.text, (await first).text)
    t.equal(runCountOf(services, 'k'), 1)
  })
})

test('each key runs at most once when answers to appends are lost', async t => {
  await withPair(async ({ world, services, slots }) => {
    world.log.faults.loseAnswers = 0.5
    const keys = Array.from({ length: 12 }, (_, index) => `lost-${index}`)
    const answers = await Promise.all(keys.map(async (key, index) => await world.call(slots[index % 2] ?? slots[0], { id: key, key })))
    world.log.faults.loseAnswers = 0
    keys.forEach((key, index) => {
      const ran = runCountOf(services, key)
      t.ok(ran <= 1)
      if (answers[index]?.outcome === 'not-run') t.equal(ran, 0)
      if (answers[index]?.outcome === 'run') t.equal(ran, 1)
    })
    t.ok(answers.some(answer => answer.outcome === 'run'))
  })
})

test('during a log outage only idempotent requests run, and a key refused then runs afterwards', async t => {
  await withPair(async ({ world, services, slots: [slot, other] }) => {
    world.log.faults.outage = true
    const refused = await world.call(slot, { id: 'out', key: 'k' })
    t.same([refused.failure, refused.outcome], ['log-unavailable', 'not-run'])
    t.equal((await world.call(slot, { id: 'plain', operation: 'look-up' })).outcome, 'run')
    t.equal(runCountOf(services, 'k'), 0)
    world.log.faults.outage = false
    await eventually(async () => (await world.call(other, { id: 'later', key: 'k' })).outcome === 'run')
    t.equal(runCountOf(services, 'k'), 1)
  })
})

test('a key whose answer was lost keeps the outcome unknown and never runs again', async t => {
  await withPair(async ({ world, services, slots: [slot, other] }) => {
    services[0].behaviour.loseAnswers = true
    const lost = await world.call(slot, { id: 'lost', key: 'k' })
    t.equal(lost.outcome, 'unknown')
    services[0].behaviour.loseAnswers = false
    t.equal((await world.call(slot, { id: 'again', key: 'k' })).outcome, 'unknown')
    t.equal((await world.call(other, { id: 'elsewhere', key: 'k' })).failure, 'claim-lost')
    t.equal(runCountOf(services, 'k'), 1)
  })
})

test('a new agent respects the claims of earlier agents', async t => {
  await withPair(async ({ world, services, slots: [slot] }) => {
    await world.call(slot, { id: 'first', key: 'k' })
    await slot.node.stop()
    const service = new ServiceStandIn()
    const newSlot = await world.addLedger(service)
    const answer = await world.call(newSlot, { id: 'resent', key: 'k' })
    t.same([answer.failure, answer.claimHolder], ['claim-lost', slot.control])
    t.equal(runCountOf([...services, service], 'k'), 1)
  })
})

test('a key that ran is never reported as not-run, whatever else would refuse it', async t => {
  await withPair(async ({ world, services, slots: [holder, other] }) => {
    const first = await world.call(holder, { id: 'first', key: 'k' })
    t.equal((await world.call(other, { id: 'read', key: 'k' })).failure, 'claim-lost')
    await world.change({ kind: 'data-centre', dataCentre: 'east', state: 'out' }, 0)
    for (const slot of [holder, other]) await world.until(slot, status => status.state === 'out')
    t.equal((await world.call(holder, { id: 'again', key: 'k' })).text, first.text)
    t.equal((await world.call(other, { id: 'elsewhere', key: 'k' })).failure, 'claim-lost')
    t.equal((await world.call(other, { id: 'late', key: 'k', milliseconds: -5 })).outcome, 'unknown')
    t.equal((await world.call(other, { id: 'new', key: 'new' })).failure, 'data-centre-out')
    t.equal(runCountOf(services, 'k'), 1)
  })
})

const malformed = [
  { name: 'a non-idempotent operation without a key', call: { id: 'x' }, status: 400, failure: 'malformed' },
  { name: 'no request id', call: { id: '', operation: 'look-up' }, status: 400, failure: 'malformed' },
  { name: 'a path in the operation', call: { id: 'x', operation: '..%2fstate' }, status: 400, failure: 'malformed' },
  { name: 'a deadline that is not a number', call: { id: 'x', operation: 'look-up', extraHeaders: { 'pollendyke-deadline': 'soon' } }, status: 400, failure: 'malformed' },
  { name: 'a deadline that has passed', call: { id: 'x', operation: 'look-up', milliseconds: -1 }, status: 503, failure: 'late-deadline' },
  { name: 'an oversized body', call: { id: 'x', operation: 'look-up', body: 'x'.repeat((4 << 20) + 1) }, status: 413, failure: 'too-large' }
] as const

test('malformed, late and oversized requests are refused and do not run', async t => {
  await withPair(async ({ world, services, slots: [slot] }) => {
    for (const { name, call, status, failure } of malformed) {
      const answer = await world.call(slot, call)
      t.same([answer.status, answer.failure, answer.outcome], [status, failure, 'not-run'], name)
    }
    t.same(services.map(service => service.register.length), [0, 0])
    t.equal((await world.call(slot, { id: 'after', operation: 'look-up' })).outcome, 'run')
  })
})
