import { test } from 'tap'
import { EngineStandIn, tokenAt } from '../stand-in/engine.js'
import { testWeights, SlotWorld, type Slot } from './fakes/slot.js'
import { eventually, intent } from './fakes/test-cluster.js'

const weights = testWeights.first.named.digest

interface EngineWorld { readonly world: SlotWorld, readonly engine: EngineStandIn, readonly slot: Slot }

async function withEngine (work: (running: EngineWorld) => Promise<void>): Promise<void> {
  const world = await SlotWorld.start()
  const engine = new EngineStandIn()
  Object.assign(engine.behaviour, { tokenMilliseconds: 2 })
  try {
    await work({ world, engine, slot: await world.addEngine(engine) })
  } finally {
    await world.stop()
  }
}

interface Line { readonly type: string, readonly index?: number, readonly token?: string }

/** Whether an answer has exactly the expected tokens and an end line. */
function isComplete (text: string, prompt: string, tokens: number): boolean {
  const lines = text.trim().split('\n').map(line => JSON.parse(line) as Line)
  const areTokensExpected = lines.slice(0, tokens).every((line, index) => line.index === index && line.token === tokenAt(weights, prompt, index))
  return areTokensExpected && lines.length === tokens + 1 && lines[tokens]?.type === 'end'
}

test('an engine that restarts under full load never gets more requests than its cold bound', async t => {
  await withEngine(async ({ world, engine, slot }) => {
    const stop = new AbortController()
    let number = 0
    let completeCount = 0
    const work = async (): Promise<void> => {
      while (!stop.signal.aborted) {
        number += 1
        const prompt = `prompt ${number}`
        const answer = await world.prompt(slot, `id-${number}`, prompt, 5, { milliseconds: 5000 }).catch(() => undefined)
        if (answer?.status === 200 && answer.text.includes('"end"') && isComplete(answer.text, prompt, 5)) completeCount += 1
      }
    }
    const workers = Array.from({ length: 16 }, work)
    for (let restart = 0; restart < 4; restart += 1) {
      const before = completeCount
      await eventually(async () => completeCount > before + 100)
      engine.crash()
      await world.until(slot, status => status.state === 'open')
    }
    await world.until(slot, status => status.limit > 2)
    stop.abort()
    await Promise.all(workers)
    t.equal(engine.register.overloads, 0)
    t.ok(completeCount >= 400, `${completeCount} complete answers`)
  })
})

test('an unresponsive connection is closed, and the answer resumes at the exact token', async t => {
  await withEngine(async ({ world, engine, slot }) => {
    const running = world.prompt(slot, 'silent', 'a long hike', 300)
    await eventually(() => engine.register.started.length === 1)
    engine.connections.makeUnresponsive()
    const answer = await running
    t.ok(isComplete(answer.text, 'a long hike', 300))
    t.equal(engine.register.started.length, 2)
  })
})

test('an answer whose connection is cut resumes on the same incarnation, and never on another', async t => {
  await withEngine(async ({ world, engine, slot }) => {
    const resumed = world.prompt(slot, 'cut', 'a long hike', 200)
    await eventually(() => engine.register.started.length === 1)
    engine.connections.resetAll()
    t.ok(isComplete((await resumed).text, 'a long hike', 200))
    const lost = world.prompt(slot, 'lost', 'a longer hike', 200)
    await eventually(() => engine.register.started.some(({ id }) => id === 'lost'))
    engine.crash()
    const answer = await lost
    t.notOk(answer.text.includes('"end"'))
    t.notOk(answer.outcome === 'not-run')
    t.equal(engine.register.started.filter(({ id }) => id === 'lost').length, 1)
  })
})

test('a request that its caller abandons is cancelled at the engine before its slot is free', async t => {
  await withEngine(async ({ world, engine, slot }) => {
    const abandon = new AbortController()
    const call = world.prompt(slot, 'abandoned', 'a hike', 100_000, { signal: abandon.signal }).catch(() => undefined)
    await eventually(() => engine.register.started.length === 1)
    abandon.abort()
    await call
    await world.until(slot, status => status.inFlight === 0)
    t.equal(engine.runningCount, 0)
  })
})

test('at its deadline the answer ends and the request is cancelled at the engine', async t => {
  await withEngine(async ({ world, engine, slot }) => {
    const answer = await world.prompt(slot, 'late', 'a hike', 100_000, { milliseconds: 300 })
    t.notOk(answer.text.includes('"end"'))
    await world.until(slot, status => status.inFlight === 0)
    t.equal(engine.register.started.length, 1)
    const waiting = await world.prompt(slot, 'past', 'a hike', 5, { milliseconds: -5 })
    t.same([waiting.failure, waiting.outcome], ['late-deadline', 'not-run'])
  })
})

const refusals = [
  { name: 'other weights', call: { weights: testWeights.second.named.digest }, failure: 'closed' },
  { name: 'no weights', call: { weights: '' }, failure: 'closed' },
  { name: 'a body that is not JSON', call: { body: '{"prompt":' }, failure: 'malformed' },
  { name: 'a body without a prompt', call: { body: '{}' }, failure: 'malformed' }
] as const

test('requests with other weights or a malformed body are refused and do not run', async t => {
  await withEngine(async ({ world, engine, slot }) => {
    for (const { name, call, failure } of refusals) {
      const answer = await world.prompt(slot, 'refused', 'a hike', 5, call)
      t.same([answer.failure, answer.outcome], [failure, 'not-run'], name)
    }
    t.equal(engine.register.started.length, 0)
  })
})

test('a request that crashes its engine becomes a suspect, and a suspect request runs alone', async t => {
  await withEngine(async ({ world, engine, slot }) => {
    engine.behaviour.crashText = 'poison'
    await world.prompt(slot, 'poison', 'poison', 5)
    await world.until(slot, status => status.suspects.length === 1 && status.suspects[0]?.crashes === 1)
    await world.until(slot, status => status.state === 'open')
    const other = world.prompt(slot, 'other', 'a long hike', 200)
    await eventually(() => engine.register.started.some(({ id }) => id === 'other'))
    const waits = await world.prompt(slot, 'suspect', 'poison', 5, { extraHeaders: { 'pollendyke-suspect': '1' } })
    t.same([waits.failure, waits.outcome], ['suspect-waits', 'not-run'])
    await other
    await world.until(slot, status => status.inFlight === 0)
    engine.behaviour.crashText = ''
    const alone = world.prompt(slot, 'alone', 'poison', 100, { extraHeaders: { 'pollendyke-suspect': '1' } })
    await eventually(() => engine.register.started.some(({ id }) => id === 'alone'))
    t.equal((await world.prompt(slot, 'beside', 'a hike', 5)).failure, 'busy')
    t.ok(isComplete((await alone).text, 'poison', 100))
  })
})

test('new weights are loaded after running requests have ended, also when the answer to the order is lost', async t => {
  await withEngine(async ({ world, engine, slot }) => {
    engine.behaviour.loseOrderShare = 1
    const running = world.prompt(slot, 'running', 'a long hike', 200)
    await eventually(() => engine.register.started.length === 1)
    await world.change({ kind: 'intent', intent: intent('first', testWeights.second.named.digest) }, 0)
    await world.until(slot, status => status.wanted === testWeights.second.named.digest)
    t.ok(isComplete((await running).text, 'a long hike', 200))
    await world.until(slot, status => status.weights === testWeights.second.named.digest)
    t.equal(engine.register.orders.length, 2)
    t.equal((await world.prompt(slot, 'old', 'a hike', 5)).failure, 'closed')
  })
})

test('an agent whose lease was taken over accepts no requests and sends no orders', async t => {
  await withEngine(async ({ world, engine, slot }) => {
    const record = { type: 'lease', id: 'another', instance: slot.instance, incarnation: 'another' }
    await world.append('leases', record)
    await world.until(slot, status => status.state === 'closed')
    engine.crash()
    const refused = await world.prompt(slot, 'closed', 'a hike', 5)
    t.same([refused.failure, refused.outcome], ['closed', 'not-run'])
    t.equal(engine.register.orders.length, 1)
  })
})

test('a planned stop lets running requests finish and refuses new ones at once', async t => {
  await withEngine(async ({ world, slot }) => {
    const running = world.prompt(slot, 'running', 'a long hike', 200)
    await world.until(slot, status => status.inFlight === 1)
    const stopped = slot.node.stop()
    const refused = await world.prompt(slot, 'new', 'a hike', 5)
    t.same([refused.failure, refused.outcome], ['leaving', 'not-run'])
    t.ok(isComplete((await running).text, 'a long hike', 200))
    await stopped
  })
})

test('an agent of a data centre that was taken out refuses new requests and finishes running ones', async t => {
  await withEngine(async ({ world, slot }) => {
    const running = world.prompt(slot, 'running', 'a long hike', 200)
    await world.until(slot, status => status.inFlight === 1)
    await world.change({ kind: 'data-centre', dataCentre: 'east', state: 'out' }, 0)
    await world.until(slot, status => status.state === 'out')
    const refused = await world.prompt(slot, 'new', 'a hike', 5)
    t.same([refused.failure, refused.outcome], ['data-centre-out', 'not-run'])
    t.ok(isComplete((await running).text, 'a long hike', 200))
  })
})
