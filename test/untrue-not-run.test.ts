import type { IncomingMessage, ServerResponse } from 'node:http'
import { test } from 'tap'
import { Admission, type AdmissionRequest } from '../src/roles/agent/admission.js'
import { EngineStandIn } from '../stand-in/engine.js'
import { ServiceStandIn } from '../stand-in/service.js'
import { SlotWorld, type Slot } from './fakes/slot.js'
import { eventually } from './fakes/test-cluster.js'

interface StartedRequest {
  readonly name: string
  /** Starts an agent whose upstream takes longer than the request's deadline to answer. */
  readonly add: (world: SlotWorld) => Promise<{ readonly slot: Slot, readonly ran: (id: string) => boolean }>
  readonly call: { readonly operation: string, readonly key: string, readonly isModel: boolean }
}

/** Duration of an operation, and of the first token; deadlines in the middle of it leave time to start. */
const slowMilliseconds = 3000

const startedRequests: readonly StartedRequest[] = [
  {
    name: 'a completion',
    add: async world => {
      const engine = new EngineStandIn()
      Object.assign(engine.behaviour, { tokenMilliseconds: slowMilliseconds })
      return { slot: await world.addEngine(engine), ran: id => engine.register.started.some(started => started.id === id) }
    },
    call: { operation: 'completions', key: '', isModel: true }
  },
  {
    name: 'a claimed sign-off',
    add: async world => await addSlowLedger(world),
    call: { operation: 'sign-off', key: 'k', isModel: false }
  },
  {
    name: 'a look-up',
    add: async world => await addSlowLedger(world),
    call: { operation: 'look-up', key: '', isModel: false }
  }
]

async function addSlowLedger (world: SlotWorld): Promise<{ readonly slot: Slot, readonly ran: (id: string) => boolean }> {
  const service = new ServiceStandIn()
  Object.assign(service.behaviour, { workMilliseconds: slowMilliseconds })
  return { slot: await world.addLedger(service), ran: id => service.register.some(executed => executed.id === id) }
}

for (const { name, add, call } of startedRequests) {
  test(`${name} that started is not reported as not run at its deadline, nor when the entry leaves`, async t => {
    const world = await SlotWorld.start()
    t.teardown(async () => { await world.stop() })
    const { slot, ran } = await add(world)
    const send = async (id: string, milliseconds: number, signal?: AbortSignal): ReturnType<SlotWorld['call']> => {
      const overrides = { operation: call.operation, key: call.key === '' ? '' : `${call.key}-${id}`, milliseconds, ...(signal === undefined ? {} : { signal }) }
      return call.isModel ? await world.prompt(slot, id, 'a hike', 5, overrides) : await world.call(slot, { id, ...overrides })
    }

    const late = await send('late', slowMilliseconds / 2)
    t.ok(ran('late'), 'the upstream started it')
    t.equal(late.outcome, 'unknown', late.failure)
    t.not(await world.outcomeOf(slot, 'late'), 'not-run', 'the outcome that the agent reports later')

    const leaving = new AbortController()
    const abandoned = send('abandoned', 20_000, leaving.signal).catch(() => undefined)
    await eventually(() => ran('abandoned'))
    leaving.abort()
    await abandoned
    await eventually(async () => await world.outcomeOf(slot, 'abandoned') !== 'running')
    t.not(await world.outcomeOf(slot, 'abandoned'), 'not-run', 'the outcome of the abandoned request')
  })
}

const endings: ReadonlyArray<{ readonly name: string, readonly deadlineMilliseconds: number, readonly end: (admission: Admission, leaving: AbortController) => void }> = [
  { name: 'its deadline passes', deadlineMilliseconds: 50, end: () => {} },
  { name: 'the entry leaves', deadlineMilliseconds: 60_000, end: (_admission, leaving) => { leaving.abort() } }
]

for (const { name, deadlineMilliseconds, end } of endings) {
  test(`a request that runs keeps its place until its work ends, although ${name}`, async t => {
    const admission = new Admission(() => ({ coldBound: 1, fullBound: 1, firstByteTargetMilliseconds: 1000 }), () => {})
    const leaving = new AbortController()
    const request = (id: string, extra: Partial<AdmissionRequest> = {}): AdmissionRequest => ({ id, organisation: 'troop', deadline: Date.now() + 60_000, rank: 0, share: 1, fingerprint: id, isExclusive: false, ...extra })
    let finishWork = (): void => {}
    const work = new Promise<void>(resolve => { finishWork = resolve })
    let result: unknown = 'pending'
    const running = admission.run(request('suspect', { isExclusive: true, deadline: Date.now() + deadlineMilliseconds }), leaving.signal, async () => { await work })
      .then(failure => { result = failure })
    end(admission, leaving)
    await new Promise(resolve => { setTimeout(resolve, 150) })
    t.equal(result, 'pending')
    const beside = await admission.run(request('beside'), new AbortController().signal, async () => { t.fail('ran beside a suspect') })
    t.equal(beside?.tag, 'busy')
    finishWork()
    await running
    t.equal(result, undefined)
  })
}

/** Engine that answers each completion after the first with a status of its own; the first runs. */
class RefusingEngine extends EngineStandIn {
  constructor (private readonly status: number) {
    super()
  }

  override async listen (address: string): ReturnType<EngineStandIn['listen']> {
    const listening = await super.listen(address)
    const { server } = listening
    const handlers = server.listeners('request')
    server.removeAllListeners('request')
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      const isRefused = request.method === 'POST' && request.url === '/completions' && this.register.started.length > 0
      if (isRefused) response.writeHead(this.status).end()
      else for (const handle of handlers) handle.call(server, request, response)
    })
    return listening
  }
}

for (const status of [503, 400]) {
  test(`a completion whose connection was lost is not reported as not run, although its resumption was refused with ${status}`, async t => {
    const world = await SlotWorld.start()
    t.teardown(async () => { await world.stop() })
    const engine = new RefusingEngine(status)
    Object.assign(engine.behaviour, { tokenMilliseconds: slowMilliseconds })
    const slot = await world.addEngine(engine)
    const running = world.prompt(slot, 'resumed', 'a hike', 5)
    await eventually(() => engine.register.started.length === 1)
    engine.connections.resetAll()
    const { outcome, failure } = await running
    t.equal(outcome, 'unknown', failure)
    t.equal(engine.register.started.length, 1)
    t.not(await world.outcomeOf(slot, 'resumed'), 'not-run')
  })
}
