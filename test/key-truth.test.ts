import { test } from 'tap'
import { claimKey } from '../src/core/claims.js'
import { headers } from '../src/types/messages.js'
import { ServiceStandIn } from '../stand-in/service.js'
import { refuseWith } from './fakes/agent.js'
import { SlotWorld } from './fakes/slot.js'
import { TestCluster } from './fakes/test-cluster.js'

type ReportedOutcome = 'not-run' | 'unknown' | 'run' | 'running'

const refusals: ReadonlyArray<{ readonly name: string, readonly reportedOutcomes: readonly ReportedOutcome[], readonly operation: string, readonly key: string, readonly outcome: string }> = [
  { name: 'a key that no agent has claimed', reportedOutcomes: ['not-run', 'not-run'], operation: 'sign-off', key: 'k', outcome: 'not-run' },
  { name: 'a key that is unknown to one agent and free at the other', reportedOutcomes: ['unknown', 'not-run'], operation: 'sign-off', key: 'k', outcome: 'not-run' },
  { name: 'a key whose outcome no agent knows', reportedOutcomes: ['unknown', 'unknown'], operation: 'sign-off', key: 'k', outcome: 'unknown' },
  { name: 'a key that ran', reportedOutcomes: ['not-run', 'run'], operation: 'sign-off', key: 'k', outcome: 'unknown' },
  { name: 'a key that is running', reportedOutcomes: ['running', 'not-run'], operation: 'sign-off', key: 'k', outcome: 'unknown' },
  { name: 'an idempotent operation', reportedOutcomes: ['unknown', 'unknown'], operation: 'look-up', key: 'k', outcome: 'not-run' }
]

for (const { name, reportedOutcomes, operation, key, outcome } of refusals) {
  test(`a refusal of ${name} says ${outcome}`, async t => {
    const world = await TestCluster.start({ ledger: ['east', 'west'] })
    t.teardown(() => { world.stop() })
    world.agents.forEach((agent, index) => {
      agent.behave = refuseWith('log-unavailable')
      agent.defaultOutcome = reportedOutcomes[index] ?? 'unknown'
    })
    const answer = await world.call(`ledger/${operation}`, 'badge', { [headers.idempotencyKey]: key })
    t.equal(answer.failure, 'log-unavailable')
    t.equal(answer.outcome, outcome)
  })
}

const keyStates: ReadonlyArray<{ readonly name: string, readonly ran: boolean, readonly outage: boolean, readonly outcome: ReportedOutcome }> = [
  { name: 'was never claimed', ran: false, outage: false, outcome: 'not-run' },
  { name: 'ran at another agent', ran: true, outage: false, outcome: 'unknown' },
  { name: 'was never claimed, during a log outage,', ran: false, outage: true, outcome: 'unknown' }
]

for (const { name, ran, outage, outcome } of keyStates) {
  test(`an agent asked about a key that ${name} says ${outcome}`, async t => {
    const world = await SlotWorld.start()
    try {
      const asked = await world.addLedger(new ServiceStandIn())
      const other = await world.addLedger(new ServiceStandIn())
      if (ran) t.equal((await world.call(other, { id: 'one', key: 'k' })).outcome, 'run')
      world.log.faults.outage = outage
      t.equal(await world.outcomeOf(asked, '', claimKey('troop', 'ledger', 'sign-off', 'k')), outcome)
    } finally {
      world.log.faults.outage = false
      await world.stop()
    }
  })
}
