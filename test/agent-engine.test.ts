import { test } from 'tap'
import { EngineStandIn, tokenAt } from '../stand-in/engine.js'
import { testWeights, SlotWorld, type Slot } from './fakes/slot.js'
import { eventually, intent } from './fakes/world.js'

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

/** Whether an answer is whole and every token right. */
function isComplete (text: string, prompt: string, tokens: number): boolean {
  const lines = text.trim().split('\n').map(line => JSON.parse(line) as Line)
  const right = lines.slice(0, tokens).every((line, index) => line.index === index && line.token === tokenAt(weights, prompt, index))
  return right && lines.length === tokens + 1 && lines[tokens]?.type === 'end'
}

test('an engine that restarts under full load never gets more than its cold bound', async t => {
  await withEngine(async ({ world, engine, slot }) => {
    const stop = new AbortController()
    let number = 0
    let whole = 0
    const work = async (): Promise<void> => {
      while (!stop.signal.aborted) {
        number += 1
        const prompt = `prompt ${number}`
        const answer = await world.prompt(slot, `id-${number}`, prompt, 5, { milliseconds: 5000 }).catch(() => undefined)
        if (answer?.status === 200 && answer.text.includes('"end"') && isComplete(answer.text, prompt, 5)) whole += 1
      }
    }
    const workers = Array.from({ length: 16 }, work)
    for (let restart = 0; restart < 4; restart += 1) {
      const before = whole
      await eventually(async () => whole > before + 100)
      engine.crash()
      await world.until(slot, status => status.state === 'open')
    }
    await world.until(slot, status => status.limit > 2)
    stop.abort()
    await Promise.all(workers)
    t.equal(engine.register.overloads, 0)
    t.ok(whole >= 400, `${whole} whole answers`)
  })
})

test('a connection that goes silent is given up, and the answer goes on from the exact token', async t => {
  await withEngine(async ({ world, engine, slot }) => {
    const running = world.prompt(slot, 'silent', 'a long hike', 300)
    await eventually(() => engine.register.started.length === 1)
    engine.connections.silence()
    const answer = await running
    t.ok(isComplete(answer.text, 'a long hike', 300))
    t.equal(engine.register.started.length, 2)
  })
})

test('a connection that is cut resumes on the same incarnation, and never on another', async t => {
  await withEngine(async ({ world, engine, slot }) => {
    const resumed = world.prompt(slot, 'cut', 'a long hike', 200)
    await eventually(() => engine.register.started.length === 1)
    engine.connections.cut()
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

test('what a caller abandons is cancelled at the engine before its place is given on', async t => {
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

test('a deadline ends the answer at once, and the request at the engine', async t => {
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

test('what the gate or the form refuses did not run', async t => {
  await withEngine(async ({ world, engine, slot }) => {
    for (const { name, call, failure } of refusals) {
      const answer = await world.prompt(slot, 'refused', 'a hike', 5, call)
      t.same([answer.failure, answer.outcome], [failure, 'not-run'], name)
    }
    t.equal(engine.register.started.length, 0)
  })
})

test('a request that crashes its engine becomes a suspect, and a suspect runs alone', async t => {
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

test('new weights wait until what runs has ended on its own, and a lost answer of the order changes nothing', async t => {
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

test('an agent that another one replaces takes no more work and gives no more orders', async t => {
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

test('a planned stop cuts no request and refuses new ones at once', async t => {
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

test('a data centre that was taken out takes no new work, and finishes what runs', async t => {
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
