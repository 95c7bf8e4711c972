/** An entry that is delayed itself, as by a busy machine, does not take its own delay for an unresponsive agent. */
import { test } from 'tap'
import { headers } from '../src/types/messages.js'
import { answerPlain, refuseWith } from './fakes/agent.js'
import { eventually, TestCluster } from './fakes/test-cluster.js'

/** Longer than any timeout of a query for an outcome. */
const delayMilliseconds = 700

/** Blocks the process, and so the entry under test, which shares it with the fake agents. */
function blockProcess (): void {
  const until = Date.now() + delayMilliseconds
  while (Date.now() < until);
}

for (const operation of ['look-up', 'sign-off']) {
  test(`a ${operation} that runs is not lost when the entry is delayed while it asks for its outcome`, async t => {
    const world = await TestCluster.start({ ledger: ['east'] })
    t.teardown(() => { world.stop() })
    const [agent] = world.agents
    if (agent === undefined) throw new Error('there is no agent')
    const { outcome } = agent
    let delays = 0
    agent.outcome = question => {
      delays += 1
      if (delays <= 2) blockProcess()
      return { ...outcome.call(agent, question), outcome: 'running' }
    }
    agent.behave = async (run, response) => {
      await eventually(() => delays >= 3)
      await answerPlain(run, response, agent)
    }
    const answer = await world.call(`ledger/${operation}`, 'badge', { [headers.idempotencyKey]: 'k' })
    t.same([answer.status, answer.outcome], [200, 'run'], answer.failure)
    t.equal(agent.runs.length, 1)
  })
}

test('a refusal stays not-run when the entry is delayed while it confirms that', async t => {
  const world = await TestCluster.start({ ledger: ['east'] })
  t.teardown(() => { world.stop() })
  const [agent] = world.agents
  if (agent === undefined) throw new Error('there is no agent')
  const { outcome } = agent
  let delays = 0
  agent.behave = refuseWith('busy')
  agent.outcome = question => {
    delays += 1
    if (delays === 1) blockProcess()
    return { ...outcome.call(agent, question), outcome: 'not-run' }
  }
  const answer = await world.call('ledger/sign-off', 'badge', { [headers.idempotencyKey]: 'k' })
  t.same([answer.failure, answer.outcome], ['busy', 'not-run'])
})
