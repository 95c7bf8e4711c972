import { test } from 'tap'
import { fingerprintOf, Quarantine } from '../src/core/quarantine.js'
import { headers, type SuspectCount } from '../src/types/messages.js'
import type { EngineRequest } from '../src/types/platform.js'
import { answerTokens, refuseWith, type Behaviour, type FakeAgent } from './fakes/agent.js'
import { eventually, TestCluster } from './fakes/test-cluster.js'

const hour = 3_600_000
const crashingRequest = { prompt: 'poison', maximumTokens: 4 }

function suspect (crashes: number, until: number, fingerprint = 'f'): SuspectCount {
  return { fingerprint, crashes, until }
}

type CrashReport = readonly [instance: string, incarnation: string, suspects: readonly SuspectCount[]]
const quarantineCases: readonly { readonly name: string, readonly reports: readonly CrashReport[], readonly losses: number, readonly kind: string }[] = [
  { name: 'nothing', reports: [], losses: 0, kind: 'clear' },
  { name: 'one crash', reports: [['a', '1', [suspect(1, 200)]]], losses: 0, kind: 'suspect' },
  { name: 'the same crash reported again', reports: [['a', '1', [suspect(1, 200)]], ['a', '1', [suspect(1, 200)]]], losses: 0, kind: 'suspect' },
  { name: 'two crashes at one agent', reports: [['a', '1', [suspect(2, 200)]]], losses: 0, kind: 'quarantined' },
  { name: 'a crash at each of two agents', reports: [['a', '1', [suspect(1, 200)]], ['b', '1', [suspect(1, 200)]]], losses: 0, kind: 'quarantined' },
  { name: 'a crash at each of two incarnations', reports: [['a', '1', [suspect(1, 200)]], ['a', '2', [suspect(1, 200)]]], losses: 0, kind: 'quarantined' },
  { name: 'a crash that the agent no longer reports', reports: [['a', '1', [suspect(1, 200)]], ['a', '1', []]], losses: 0, kind: 'suspect' },
  { name: 'a crash that has expired', reports: [['a', '1', [suspect(1, 100)]]], losses: 0, kind: 'clear' },
  { name: 'crashes of another fingerprint', reports: [['a', '1', [suspect(2, 200, 'g')]]], losses: 0, kind: 'clear' },
  { name: 'one lost instance', reports: [], losses: 1, kind: 'clear' },
  { name: 'two lost instances', reports: [], losses: 2, kind: 'quarantined' }
]

for (const { name, reports, losses, kind } of quarantineCases) {
  test(`after ${name} a fingerprint is ${kind}`, async t => {
    const quarantine = new Quarantine()
    for (const [instance, incarnation, suspects] of reports) quarantine.recordStatus({ instance, incarnation, suspects })
    for (let loss = 0; loss < losses; loss += 1) quarantine.recordLoss('f', 200)
    t.equal(quarantine.statusOf('f', 150).kind, kind)
    quarantine.prune(150)
    t.equal(quarantine.statusOf('f', 150).kind, kind, 'pruning removes only expired counts')
  })
}

/** Behaviour of an upstream that the crashing request brings down: all requests that run there are cut and reported as suspects. */
function crashOnCrashingRequest (crashes: string[], until: number): Behaviour {
  const counts = new Map<string, number>()
  const answerNormally = answerTokens(undefined, 20)
  return async (run, response, agent: FakeAgent) => {
    const { prompt } = JSON.parse(run.body.toString('utf8')) as EngineRequest
    if (prompt !== crashingRequest.prompt) {
      await answerNormally(run, response, agent)
      return
    }
    crashes.push(agent.listed.instance)
    const running = agent.runs.filter(other => !other.ended && !other.cancelled)
    for (const { headers: sent } of running) {
      const fingerprint = String(sent[headers.fingerprint])
      counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1)
    }
    agent.publish({ suspects: [...counts].map(([fingerprint, count]) => ({ fingerprint, crashes: count, until })) })
    agent.closeResponses()
  }
}

test('a request that crashes upstreams, sent repeatedly to different entries, crashes at most two', async t => {
  const world = await TestCluster.start({ entries: 3, citations: ['east', 'east', 'west', 'west'] })
  t.teardown(() => { world.stop() })
  const crashes: string[] = []
  const until = Date.now() + hour
  for (const agent of world.agents) agent.behave = crashOnCrashingRequest(crashes, until)
  const failures: string[] = []
  for (let turn = 0; turn < 9; turn += 1) failures.push((await world.call('citations/completions', crashingRequest, {}, turn % 3)).failure)
  t.ok(crashes.length <= 2, `crashed ${crashes.join(', ')}`)
  const last = await world.call('citations/completions', crashingRequest, {}, 1)
  t.match(last, { status: 422, failure: 'quarantined', outcome: 'not-run' })
  t.equal((JSON.parse(last.text) as { retryAt: number }).retryAt, until)
  t.same([...new Set(failures.slice(1))], ['quarantined'])
  const other = await world.call('citations/completions', { prompt: 'fine', maximumTokens: 3 })
  t.equal(other.lines.at(-1)?.['type'], 'end', 'other requests are served')
})

test('a request that only ran at the same time as a crash is resumed alone and completed', async t => {
  const world = await TestCluster.start({ citations: ['east', 'west', 'west'] })
  t.teardown(() => { world.stop() })
  const crashes: string[] = []
  for (const agent of world.agents) agent.behave = crashOnCrashingRequest(crashes, Date.now() + hour)
  const [localAgent] = world.agents
  const concurrent = world.call('citations/completions', { prompt: 'beside', maximumTokens: 30 })
  await eventually(() => localAgent?.runs.length === 1)
  await world.call('citations/completions', crashingRequest)
  const answer = await concurrent
  t.equal(answer.lines.length, 31)
  t.equal(answer.lines.at(-1)?.['type'], 'end')
  const resumed = world.agents.flatMap(agent => agent.runs).filter(run => run.body.includes('beside'))
  t.same(resumed.map(run => run.headers[headers.suspect]), [undefined, '1'])
})

for (const tag of ['suspect-waits', 'busy'] as const) {
  test(`a suspect that is refused with ${tag} is sent to only one upstream`, async t => {
    const world = await TestCluster.start({ citations: ['east', 'east', 'west'] })
    t.teardown(() => { world.stop() })
    for (const agent of world.agents) agent.behave = answerTokens()
    await world.call('citations/completions', { prompt: 'odd', maximumTokens: 2 })
    const fingerprint = String(world.agents.flatMap(agent => agent.runs)[0]?.headers[headers.fingerprint])
    for (const agent of world.agents) agent.behave = refuseWith(tag)
    world.agents[2]?.publish({ suspects: [suspect(1, Date.now() + hour, fingerprint)] })
    await eventually(async () => (await (await fetch(`${world.urlOf(0)}/status`)).text()).includes(fingerprint))
    const before = world.requestCount
    const answer = await world.call('citations/completions', { prompt: 'odd', maximumTokens: 2 })
    t.match(answer, { status: 503, failure: tag, outcome: 'not-run' })
    t.equal(world.requestCount, before + 1)
    t.equal(world.agents.flatMap(agent => agent.runs).sort((left, right) => left.at - right.at).at(-1)?.headers[headers.suspect], '1')
  })
}

test('concurrent copies of a suspect at three entries are all sent to one upstream', async t => {
  const world = await TestCluster.start({ entries: 3, citations: ['east', 'east', 'west'] })
  t.teardown(() => { world.stop() })
  const body = JSON.stringify({ prompt: 'odd', maximumTokens: 2 })
  const fingerprint = fingerprintOf('citations', 'completions', Buffer.from(body))
  world.agents[0]?.publish({ suspects: [suspect(1, Date.now() + hour, fingerprint)] })
  for (const index of world.entries.keys()) await eventually(async () => JSON.stringify(await world.status(index)).includes(fingerprint))
  for (const agent of world.agents) {
    agent.defaultOutcome = 'running'
    agent.behave = async (run, response) => {
      agent.publish({ inFlight: agent.runs.length })
      await eventually(() => world.requestCount === 3)
      await answerTokens()(run, response, agent)
    }
  }
  const calls: Promise<unknown>[] = []
  for (const entry of world.entries.keys()) {
    calls.push(world.call('citations/completions', body, {}, entry))
    await eventually(() => world.requestCount === entry + 1)
    for (const index of world.entries.keys()) {
      await eventually(async () => (await world.status(index)).upstreams.reduce((sum, { inFlight }) => sum + inFlight, 0) === entry + 1)
    }
  }
  await Promise.all(calls)
  t.equal(world.agents.filter(agent => agent.runs.length > 0).length, 1)
  t.ok(world.agents.flatMap(agent => agent.runs).every(run => run.headers[headers.suspect] === '1'))
})

test('a request whose instance is lost is resumed and not treated as a suspect', async t => {
  const world = await TestCluster.start({ citations: ['east', 'west'] })
  t.teardown(() => { world.stop() })
  const [localAgent, remoteAgent] = world.agents
  if (localAgent !== undefined) localAgent.behave = answerTokens(undefined, 30)
  const answering = world.call('citations/completions', { prompt: 'long', maximumTokens: 20 })
  await eventually(() => localAgent?.runs.length === 1)
  localAgent?.stop()
  const answer = await answering
  t.equal(answer.lines.length, 21)
  t.equal(answer.lines.at(-1)?.['type'], 'end')
  t.equal(remoteAgent?.runs[0]?.headers[headers.suspect], undefined)
})

test('requests without a body are never suspects, as their fingerprints do not differ', async t => {
  const quarantine = new Quarantine()
  const fingerprint = fingerprintOf('ledger', 'lookup', Buffer.alloc(0))
  quarantine.recordStatus({ instance: 'a', incarnation: '1', suspects: [suspect(2, 200, fingerprint)] })
  t.equal(quarantine.statusOf(fingerprint, 100).kind, 'clear')
})
