import { test } from 'tap'
import { headers } from '../src/types/messages.js'
import { tokenAt } from '../stand-in/engine.js'
import { answerOtherRequest, answerPlain, answerTokens, closeImmediately, refuseWith, neverAnswer, type Behaviour, type StreamFault } from './fakes/agent.js'
import { eventually, intent, newWeights, oldWeights, TestCluster, type Answer } from './fakes/test-cluster.js'

const question = { prompt: 'a hike', maximumTokens: 6 }

function isComplete (answer: Answer): boolean {
  const hasExpectedTokens = answer.lines.slice(0, 6).every((line, index) => line['type'] === 'token' && line['index'] === index && line['token'] === tokenAt(newWeights, question.prompt, index))
  const last = answer.lines[6]
  return hasExpectedTokens && answer.lines.length === 7 && last?.['type'] === 'end' && last['tokens'] === 6 && last['weights'] === newWeights
}

const faults: readonly { readonly name: string, readonly fault: StreamFault }[] = [
  { name: 'is cut', fault: { after: 3, kind: 'cut' } },
  { name: 'is cut before its first token', fault: { after: 0, kind: 'cut' } },
  { name: 'ends without its end line', fault: { after: 3, kind: 'clean-end' } },
  { name: 'stalls', fault: { after: 3, kind: 'silent' } },
  { name: 'stalls before its first token', fault: { after: 0, kind: 'silent' } },
  { name: 'turns into another request\'s', fault: { after: 2, kind: 'other-id' } },
  { name: 'turns into other weights\'', fault: { after: 2, kind: 'other-weights' } },
  { name: 'skips a token', fault: { after: 2, kind: 'gap' } },
  { name: 'ends early', fault: { after: 4, kind: 'early-end' } }
]

for (const { name, fault } of faults) {
  test(`an answer that ${name} is resumed elsewhere and completed`, async t => {
    const world = await TestCluster.start({ citations: ['east', 'west'] })
    t.teardown(() => { world.stop() })
    const [localAgent, remoteAgent] = world.agents
    if (localAgent !== undefined) localAgent.behave = answerTokens(fault)
    const answer = await world.call('citations/completions', question)
    t.ok(isComplete(answer), answer.text)
    t.equal(localAgent?.runs.length, 1)
    t.equal(remoteAgent?.runs[0]?.headers[headers.resumeFrom], String(fault.after))
    t.equal(remoteAgent?.runs[0]?.id, localAgent?.runs[0]?.id, 'the request keeps its id')
  })

  test(`an answer that ${name} is resumed only with the weights that started it`, async t => {
    const world = await TestCluster.start({ citations: ['east', 'west'] })
    t.teardown(() => { world.stop() })
    const [localAgent, remoteAgent] = world.agents
    if (remoteAgent !== undefined) remoteAgent.behave = answerTokens(fault)
    remoteAgent?.publish({ weights: oldWeights })
    await world.change({ kind: 'intent', intent: intent('later', oldWeights) }, 0)
    await eventually(async () => {
      const { node, upstreams } = await world.status(0)
      return node.revision === 1 && upstreams.some(({ weights }) => weights === oldWeights)
    })
    const answer = await world.call('citations/completions', question)
    t.equal(remoteAgent?.runs.length, 1, 'the later intent goes first')
    if (fault.after === 0) {
      t.ok(isComplete(answer), 'no token was forwarded yet, so other weights may answer')
      return
    }
    t.match(answer.lines.at(-1), { type: 'failure', outcome: 'unknown' })
    t.equal(answer.lines.some(line => line['type'] === 'end'), false)
    t.equal(localAgent?.runs.length, 0)
  })
}

const unresponsiveCases: readonly { readonly name: string, readonly reply: 'unknown' | 'not-run' | 'run' }[] = [
  { name: 'does not know the request', reply: 'unknown' },
  { name: 'has not run the request', reply: 'not-run' },
  { name: 'has answered the request', reply: 'run' }
]

for (const { name, reply } of unresponsiveCases) {
  test(`an unresponsive connection is abandoned for another upstream when the agent ${name}`, async t => {
    const world = await TestCluster.start({ citations: ['east', 'west'] })
    t.teardown(() => { world.stop() })
    const [localAgent, remoteAgent] = world.agents
    if (localAgent !== undefined) {
      localAgent.behave = neverAnswer
      localAgent.defaultOutcome = reply
    }
    const answer = await world.call('citations/completions', question)
    t.ok(isComplete(answer), answer.text)
    t.equal(remoteAgent?.runs.length, 1)
    await eventually(() => localAgent?.runs[0]?.cancelled === true)
  })
}

test('the entry waits for a slow upstream whose agent reports the request as running', async t => {
  const world = await TestCluster.start({ ledger: ['east', 'west'] })
  t.teardown(() => { world.stop() })
  const [localAgent, remoteAgent] = world.agents
  if (localAgent !== undefined) {
    localAgent.defaultOutcome = 'running'
    localAgent.behave = async (run, response, agent) => {
      await eventually(() => agent.questions.length >= 3)
      await answerPlain(run, response, agent)
    }
  }
  const answer = await world.call('ledger/lookup', 'x')
  t.equal(answer.status, 200)
  t.equal(remoteAgent?.runs.length, 0)
})

const storedAnswer = { outcome: 'run' as const, status: 201, answer: Buffer.from('{"signed":true}') }
const signOffs: readonly { readonly name: string, readonly behave: Behaviour, readonly reply: 'unknown' | 'not-run' | 'run' | 'run-pruned' | 'running-then-run' | 'not-run-elsewhere', readonly status: number, readonly outcome: string, readonly elsewhere: number }[] = [
  { name: 'is cut and ran', behave: closeImmediately, reply: 'run', status: 201, outcome: 'run', elsewhere: 0 },
  { name: 'is cut and still runs', behave: closeImmediately, reply: 'running-then-run', status: 201, outcome: 'run', elsewhere: 0 },
  { name: 'is cut and ran, its answer no longer stored', behave: closeImmediately, reply: 'run-pruned', status: 409, outcome: 'run', elsewhere: 0 },
  { name: 'is cut and its agent knows nothing', behave: closeImmediately, reply: 'unknown', status: 502, outcome: 'unknown', elsewhere: 0 },
  { name: 'is cut and did not run', behave: closeImmediately, reply: 'not-run', status: 200, outcome: 'run', elsewhere: 1 },
  { name: 'is cut and its agent was restarted', behave: closeImmediately, reply: 'not-run-elsewhere', status: 502, outcome: 'unknown', elsewhere: 0 },
  { name: 'gets the answer of another request', behave: answerOtherRequest, reply: 'unknown', status: 502, outcome: 'unknown', elsewhere: 0 },
  { name: 'stalls and ran', behave: neverAnswer, reply: 'run', status: 201, outcome: 'run', elsewhere: 0 },
  { name: 'stalls and its agent knows nothing', behave: neverAnswer, reply: 'unknown', status: 502, outcome: 'unknown', elsewhere: 0 },
  { name: 'is refused before it ran', behave: refuseWith('busy'), reply: 'unknown', status: 200, outcome: 'run', elsewhere: 1 }
]

for (const { name, behave, reply, status, outcome, elsewhere } of signOffs) {
  test(`a sign-off that ${name} is answered with its actual outcome`, async t => {
    const world = await TestCluster.start({ ledger: ['east', 'west'] })
    t.teardown(() => { world.stop() })
    const [localAgent, remoteAgent] = world.agents
    if (localAgent !== undefined) {
      localAgent.behave = (run, response, agent) => {
        if (reply === 'run' || reply === 'run-pruned') localAgent.replies.set(run.id, reply === 'run' ? storedAnswer : { ...storedAnswer, status: 0 })
        else if (reply === 'not-run-elsewhere') localAgent.replies.set(run.id, { outcome: 'not-run', incarnation: 'another' })
        else if (reply !== 'running-then-run') localAgent.replies.set(run.id, { outcome: reply })
        else {
          localAgent.replies.set(run.id, { outcome: 'running' })
          eventually(() => localAgent.questions.length >= 2).then(() => { localAgent.replies.set(run.id, storedAnswer) }, () => {})
        }
        return behave(run, response, agent)
      }
    }
    const answer = await world.call('ledger/sign-off', 'badge', { [headers.idempotencyKey]: 'key-1' })
    t.equal(answer.status, status, answer.text)
    t.equal(answer.outcome, outcome)
    t.equal(remoteAgent?.runs.length, elsewhere)
    t.equal(localAgent?.runs.length, 1, 'never sent twice to one upstream')
    if (status === 201) t.equal(answer.text, '{"signed":true}')
  })
}

const claims: readonly { readonly name: string, readonly holder: 'routed' | 'asked' | 'gone', readonly status: number, readonly outcome: string }[] = [
  { name: 'is answered by the claim\'s holder', holder: 'routed', status: 200, outcome: 'run' },
  { name: 'is answered with the stored answer of a holder that is no longer listed', holder: 'asked', status: 201, outcome: 'run' },
  { name: 'is unknown when the holder is gone', holder: 'gone', status: 409, outcome: 'unknown' }
]

for (const { name, holder, status, outcome } of claims) {
  test(`a sign-off whose claim is lost ${name}`, async t => {
    const world = await TestCluster.start({ ledger: ['east', 'west'] })
    t.teardown(() => { world.stop() })
    const [localAgent, remoteAgent] = world.agents
    if (localAgent === undefined || remoteAgent === undefined) return
    localAgent.behave = refuseWith('claim-lost', 1000, remoteAgent.listed.controlAddress)
    if (holder !== 'routed') world.publishList(listed => listed.instance === remoteAgent.listed.instance ? undefined : listed)
    if (holder !== 'routed') await world.waitForUpstreams(1)
    if (holder === 'asked') remoteAgent.outcome = () => ({ ...storedAnswer, incarnation: '' })
    if (holder === 'gone') remoteAgent.stop()
    const answer = await world.call('ledger/sign-off', 'badge', { [headers.idempotencyKey]: 'key-1' })
    t.equal(answer.status, status, answer.text)
    t.equal(answer.outcome, outcome)
    t.equal(localAgent.runs.length, 1)
    t.equal(remoteAgent.runs.length, holder === 'routed' ? 1 : 0)
  })
}

test('a lookup that gets the answer of another request is sent to another upstream', async t => {
  const world = await TestCluster.start({ ledger: ['east', 'west'] })
  t.teardown(() => { world.stop() })
  const [localAgent, remoteAgent] = world.agents
  if (localAgent !== undefined) localAgent.behave = answerOtherRequest
  const answer = await world.call('ledger/lookup', 'x')
  t.equal((JSON.parse(answer.text) as { id: string }).id, answer.headers.get(headers.requestId))
  t.equal(remoteAgent?.runs.length, 1)
})

test('no caller receives tokens of another caller when upstreams mix up answers', async t => {
  const world = await TestCluster.start({ citations: ['east', 'east', 'east'] })
  t.teardown(() => { world.stop() })
  for (const agent of world.agents.slice(0, 2)) agent.behave = answerTokens({ after: 2, kind: 'other-id' }, 0)
  const calls = Array.from({ length: 20 }, async (_, index) => {
    const prompt = `hike ${index}`
    const answer = await world.call('citations/completions', { prompt, maximumTokens: 4 })
    const tokens = answer.lines.filter(line => line['type'] === 'token')
    return tokens.every((line, position) => line['index'] === position && line['token'] === tokenAt(newWeights, prompt, position))
  })
  t.same(await Promise.all(calls), Array.from({ length: 20 }, () => true))
})

test('a late answer ends at the deadline with a failure and cancels the request at its upstream', async t => {
  const world = await TestCluster.start({ citations: ['east'] })
  t.teardown(() => { world.stop() })
  const [agent] = world.agents
  if (agent !== undefined) agent.behave = answerTokens(undefined, 100)
  const answer = await world.call('citations/completions', { prompt: 'long', maximumTokens: 1000 }, { [headers.deadline]: String(Date.now() + 600) })
  t.match(answer.lines.at(-1), { type: 'failure', failure: 'deadline-passed', outcome: 'unknown' })
  await eventually(() => agent?.runs[0]?.cancelled === true)
})

test('a caller that disconnects cancels the request at its upstream', async t => {
  const world = await TestCluster.start({ citations: ['east'] })
  t.teardown(() => { world.stop() })
  const [agent] = world.agents
  if (agent !== undefined) agent.behave = answerTokens(undefined, 50)
  const disconnection = new AbortController()
  const response = await fetch(`${world.urlOf(0)}/services/citations/completions`, { method: 'POST', headers: { [headers.organisation]: 'troop' }, body: JSON.stringify({ prompt: 'x', maximumTokens: 1000 }), signal: disconnection.signal })
  await response.body?.getReader().read()
  disconnection.abort()
  await eventually(() => agent?.runs[0]?.cancelled === true)
  t.equal(agent?.runs.length, 1)
})

test('refusals have the outcome not-run, and no request reaches an upstream', async t => {
  const world = await TestCluster.start({ citations: ['east'], ledger: ['east'], settings: { bodyBytes: 1000 } })
  t.teardown(() => { world.stop() })
  const cases: ReadonlyArray<readonly [string, unknown, Readonly<Record<string, string>>, number, string]> = [
    ['citations/completions', '{', {}, 400, 'malformed'],
    ['citations/completions', question, { [headers.deadline]: 'x' }, 400, 'malformed'],
    ['citations/completions', question, { [headers.organisation]: '' }, 403, 'unknown-organisation'],
    ['citations/completions', question, { [headers.organisation]: 'constructor' }, 403, 'unknown-organisation'],
    ['nothing/completions', question, {}, 404, 'unknown-service'],
    ['citations/completions', question, { [headers.deadline]: '1' }, 503, 'late-deadline'],
    ['citations/completions', 'x'.repeat(8_000_000), {}, 413, 'too-large'],
    ['ledger/sign-off', 'x', {}, 400, 'malformed']
  ]
  for (const [path, body, requestHeaders, status, failure] of cases) {
    const answer = await world.call(path, body, requestHeaders)
    t.match(answer, { status, failure, outcome: 'not-run' }, `${path} ${failure}`)
  }
  t.equal(world.requestCount, 0)
})

test('a request whose deadline is shorter than every recent time to the first byte is refused immediately', async t => {
  const world = await TestCluster.start({ citations: ['east'] })
  t.teardown(() => { world.stop() })
  const [agent] = world.agents
  if (agent !== undefined) {
    agent.defaultOutcome = 'running'
    agent.behave = answerTokens(undefined, 400)
  }
  await world.call('citations/completions', { prompt: 'x', maximumTokens: 1 })
  const answer = await world.call('citations/completions', { prompt: 'x', maximumTokens: 1 }, { [headers.deadline]: String(Date.now() + 200) })
  t.match(answer, { status: 503, failure: 'late-deadline', outcome: 'not-run' })
  t.ok((JSON.parse(answer.text) as { retryAt: number }).retryAt > 0)
  t.equal(agent?.runs.length, 1)
})

const lostLookUps: readonly { readonly name: string, readonly reply: { readonly outcome: 'not-run' | 'unknown', readonly incarnation?: string }, readonly outcome: string }[] = [
  { name: 'has not run it', reply: { outcome: 'not-run' }, outcome: 'not-run' },
  { name: 'does not know it', reply: { outcome: 'unknown' }, outcome: 'unknown' },
  { name: 'was restarted', reply: { outcome: 'not-run', incarnation: 'another' }, outcome: 'unknown' }
]

for (const { name, reply, outcome } of lostLookUps) {
  test(`a look-up that is cut is reported as ${outcome} when its agent ${name} and no other upstream is left`, async t => {
    const world = await TestCluster.start({ ledger: ['east'] })
    t.teardown(() => { world.stop() })
    const [agent] = world.agents
    if (agent === undefined) throw new Error('there is no agent')
    agent.behave = (run, response) => {
      agent.replies.set(run.id, reply)
      response.destroy()
    }
    const answer = await world.call('ledger/look-up', 'badge')
    t.equal(answer.outcome, outcome, answer.failure)
  })
}

test('a completion whose tokens were forwarded is reported as unknown, whatever its agent says', async t => {
  const world = await TestCluster.start({ citations: ['east'] })
  t.teardown(() => { world.stop() })
  const [agent] = world.agents
  if (agent === undefined) throw new Error('there is no agent')
  agent.defaultOutcome = 'not-run'
  agent.behave = answerTokens({ after: 3, kind: 'cut' })
  const answer = await world.call('citations/completions', question)
  t.match(answer.lines.at(-1), { type: 'failure', outcome: 'unknown' })
})
