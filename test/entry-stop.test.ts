import { setTimeout as wait } from 'node:timers/promises'
import { test } from 'tap'
import type { LocateAnswer } from '../src/types/messages.js'
import type { RequestRecord } from '../src/roles/entry/journal.js'
import { tokenAt } from '../stand-in/engine.js'
import { answerTokens } from './fakes/agent.js'
import { eventually, newWeights, TestCluster, type Answer } from './fakes/test-cluster.js'

async function locate (url: string): Promise<LocateAnswer> {
  return await (await fetch(`${url}/locate?organisation=troop&service=citations&prefix=a`)).json() as LocateAnswer
}

test('a planned stop of an entry cuts no request', async t => {
  const world = await TestCluster.start({ entries: 3, citations: ['east', 'east', 'west'] })
  t.teardown(() => { world.stop() })
  for (const agent of world.agents) agent.behave = answerTokens(undefined, 10)
  const first = await locate(world.urlOf(0))
  const stoppingEntry = world.entries.find(({ listed }) => listed.address === first.address)
  const otherEntries = world.entries.filter(entry => entry !== stoppingEntry)
  if (stoppingEntry === undefined) throw new Error('locate returned an entry that the test did not start')
  const ended = new AbortController()
  const calls: { whole: boolean, address: string }[] = []
  const callContinuously = async (ask: string, index: number): Promise<void> => {
    while (!ended.signal.aborted) {
      const { address, until } = await locate(ask)
      while (Date.now() < until && !ended.signal.aborted) {
        const prompt = `caller ${index} ${calls.length}`
        const response = await fetch(`http://${address}/services/citations/completions`, { method: 'POST', headers: { 'pollendyke-organisation': 'troop' }, body: JSON.stringify({ prompt, maximumTokens: 15 }) })
        const lines = (await response.text()).trim().split('\n').map(line => JSON.parse(line) as Record<string, unknown>)
        const hasExpectedTokens = lines.slice(0, 15).every((line, position) => line['token'] === tokenAt(newWeights, prompt, position))
        calls.push({ whole: hasExpectedTokens && lines[15]?.['type'] === 'end', address })
      }
    }
  }
  const callers = [0, 1, 2, 3].map(async index => { await callContinuously(otherEntries[index % 2]?.url ?? '', index) })
  await eventually(() => calls.some(({ address }) => address === stoppingEntry.listed.address))
  const stopping = stoppingEntry.node.stop()
  await eventually(async () => (await locate(otherEntries[0]?.url ?? '')).address !== stoppingEntry.listed.address)
  await stopping
  const after = calls.length
  await eventually(() => calls.length > after + 4)
  ended.abort()
  await Promise.all(callers)
  t.same(calls.filter(({ whole }) => !whole), [], 'every answer is complete')
  t.ok(calls.some(({ address }) => address !== stoppingEntry.listed.address))
  t.same(world.agents.flatMap(agent => agent.runs).filter(run => run.cancelled), [], 'no upstream saw a cut request')
  t.not((await locate(otherEntries[0]?.url ?? '')).address, stoppingEntry.listed.address)
})

test('a stopping entry finishes a long answer and refuses new requests as not run', async t => {
  const world = await TestCluster.start({ citations: ['east'], settings: { progressMilliseconds: 60_000 } })
  t.teardown(() => { world.stop() })
  const [agent] = world.agents
  let refused = false
  if (agent !== undefined) {
    agent.defaultOutcome = 'running'
    agent.behave = async (run, response) => {
      if (run.body.includes('long')) await eventually(() => refused)
      await answerTokens()(run, response, agent)
    }
  }
  const long = world.call('citations/completions', { prompt: 'long', maximumTokens: 150 })
  await eventually(() => agent?.runs.length === 1)
  const stopping = world.entries[0]?.node.stop()
  await eventually(async () => {
    const answer = await world.call('citations/completions', { prompt: 'x', maximumTokens: 1 })
    if (answer.failure !== 'leaving') return false
    t.match(answer, { status: 503, outcome: 'not-run' })
    t.equal(answer.headers.get('connection'), 'close')
    t.equal(answer.headers.get('retry-after'), '0')
    return true
  })
  refused = true
  await stopping
  const answer = await long
  t.equal(answer.lines.at(-1)?.['type'], 'end')
})

const keyedRefusals = [
  { name: 'a key that ran', reportedOutcome: 'run', outcome: 'unknown' },
  { name: 'a key that no agent has claimed', reportedOutcome: 'not-run', outcome: 'not-run' },
  { name: 'a key whose outcome no agent knows', reportedOutcome: 'unknown', outcome: 'unknown' }
] as const

for (const { name, reportedOutcome, outcome } of keyedRefusals) {
  test(`a stopping entry that refuses ${name} says ${outcome}`, async t => {
    const world = await TestCluster.start({ citations: ['east'], ledger: ['east'], settings: { progressMilliseconds: 60_000 } })
    t.teardown(() => { world.stop() })
    const [engine, ledger] = [...world.agents].sort((left, right) => left.listed.service < right.listed.service ? -1 : 1)
    let isEnded = false
    if (engine !== undefined) {
      engine.defaultOutcome = 'running'
      engine.behave = async (run, response) => {
        await eventually(() => isEnded)
        await answerTokens()(run, response, engine)
      }
    }
    if (ledger !== undefined) ledger.defaultOutcome = reportedOutcome
    const long = world.call('citations/completions', { prompt: 'long', maximumTokens: 1 })
    await eventually(() => engine?.runs.length === 1)
    const stopping = world.entries[0]?.node.stop()
    const refuse = async (): Promise<Answer> => await world.call('ledger/sign-off', 'badge', { 'idempotency-key': 'k' })
    let answer = await refuse()
    await eventually(async () => {
      answer = await refuse()
      return answer.failure === 'leaving'
    })
    t.equal(answer.outcome, outcome)
    const last = refuse()
    isEnded = true
    t.equal((await last).outcome, outcome, 'a request that comes at the end of the stop is answered')
    await stopping
    t.equal((await long).status, 200)
  })
}

test('a data centre that is out gets no new work from any entry, even before its agents know of the change', async t => {
  const world = await TestCluster.start({ entries: 3, citations: ['east', 'west'], settings: { dataCentre: 'west', region: 'two' } })
  t.teardown(() => { world.stop() })
  const west = world.agents.find(agent => agent.listed.dataCentre === 'west')
  const ask = async (): Promise<void> => {
    for (const index of world.entries.keys()) await world.call('citations/completions', { prompt: 'x', maximumTokens: 1 }, {}, index)
  }
  await ask()
  t.equal(west?.runs.length, 3, 'entries of its data centre prefer it while it is in')
  await world.change({ kind: 'data-centre', dataCentre: 'west', state: 'out' }, 0)
  for (const index of world.entries.keys()) {
    await eventually(async () => (await world.status(index)).node.revision === 1)
  }
  for (let turn = 0; turn < 5; turn += 1) await ask()
  t.equal(west?.runs.length, 3)
  await world.change({ kind: 'data-centre', dataCentre: 'west', state: 'in' }, 1)
  await eventually(async () => {
    await ask()
    return (west?.runs.length ?? 0) > 3
  })
})

test('an upstream that is listed as leaving gets no new work', async t => {
  const world = await TestCluster.start({ citations: ['east', 'west'] })
  t.teardown(() => { world.stop() })
  const [localAgent] = world.agents
  world.publishList(listed => listed.instance === localAgent?.listed.instance ? { ...listed, state: 'leaving' } : listed)
  await world.waitForUpstreams(1)
  await world.call('citations/completions', { prompt: 'x', maximumTokens: 1 })
  t.equal(localAgent?.runs.length, 0)
})

test('an entry serves its recent requests and metrics without bodies or keys', async t => {
  const world = await TestCluster.start({ ledger: ['east'] })
  t.teardown(() => { world.stop() })
  const answer = await world.call('ledger/sign-off', 'secret body', { 'idempotency-key': 'secret-key' })
  const id = answer.headers.get('pollendyke-request-id') ?? ''
  await wait(0)
  const text = await (await fetch(`${world.urlOf(0)}/requests/${id}`)).text()
  const record = JSON.parse(text) as RequestRecord
  t.match(record, { id, service: 'ledger', operation: 'sign-off', organisation: 'troop', outcome: 'run', failure: '', attempts: [{ instance: 'ledger-0', result: 'answered' }] })
  t.notMatch(text, /secret/)
  const metrics = await (await fetch(`${world.urlOf(0)}/metrics`)).text()
  t.match(metrics, /pollendyke_requests_total\{.*service="ledger".*outcome="run".*\} 1/)
  t.match(metrics, /pollendyke_answer_milliseconds\{.*quantile="0.95"\}/)
  t.equal((await fetch(`${world.urlOf(0)}/requests/nothing`)).status, 404)
})
