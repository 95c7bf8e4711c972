/** Callers of every organisation that run side by side, drawn from a seed. */
import { setMaxListeners } from 'node:events'
import { seededRandom } from '../src/utils/random.js'
import { waitUntil } from '../src/utils/clock.js'
import type { Answers } from '../src/types/answers.js'
import { Caller, type Call, type Sending } from './caller.js'

/** What the callers do. */
export interface LoadPlan {
  readonly seed: number
  readonly organisations: readonly string[]
  readonly services: Answers['services']
  /** Addresses of entries that every caller knows beforehand. */
  readonly entries: readonly string[]
  /** Callers of each organisation. */
  readonly callers: number
  /** Longest pause of a caller between two calls, milliseconds. */
  readonly pauseMilliseconds: number
  readonly tokens: number
  /** Time that each call has, milliseconds. */
  readonly callMilliseconds: number
  /** Share of calls with a key that are sent again to another entry, at once or after the answer. */
  readonly resendShare: number
}

const idempotentOperation = 'look-up'

/** The running callers. */
export class Load {
  private readonly stopping = new AbortController()
  private readonly sendings: Sending[] = []
  private readonly callers: readonly Caller[]
  private workers: ReadonlyArray<Promise<void>> = []

  constructor (private readonly plan: LoadPlan) {
    this.callers = plan.organisations.map(organisation => new Caller(organisation, plan.entries))
  }

  start (): void {
    const { seed, callers } = this.plan
    setMaxListeners(0, this.stopping.signal)
    this.workers = this.callers.flatMap((caller, place) => Array.from({ length: callers }, (_, index) => this.work(caller, seed * 10_007 + place * 101 + index)))
  }

  /** Sendings that have ended so far. */
  get ended (): readonly Sending[] {
    return this.sendings
  }

  /** Lets every caller finish its call. */
  async stop (): Promise<readonly Sending[]> {
    this.stopping.abort()
    await Promise.all(this.workers)
    for (const caller of this.callers) caller.close()
    return this.sendings
  }

  private async work (caller: Caller, seed: number): Promise<void> {
    const random = seededRandom(seed)
    for (let number = 0; !this.stopping.signal.aborted; number += 1) {
      const call = this.makeCall(random, `${caller.organisation} ${seed} ${number}`)
      const resend = call.key !== '' && random() < this.plan.resendShare
      const atOnce = random() < 0.5
      const place = random()
      const first = caller.persist(call)
      if (!atOnce) await first
      if (resend) await this.sendElsewhere(caller, call, place)
      this.sendings.push(...await first)
      await waitUntil(Date.now() + random() * this.plan.pauseMilliseconds, this.stopping.signal)
    }
  }

  private async sendElsewhere (caller: Caller, call: Call, place: number): Promise<void> {
    const { others } = caller
    const elsewhere = others[Math.floor(place * others.length)]
    this.sendings.push(await caller.send(call, elsewhere))
  }

  private makeCall (random: () => number, name: string): Call {
    const { services, tokens, callMilliseconds } = this.plan
    const service = services[Math.floor(random() * services.length)]
    if (service === undefined) throw new Error('the answers name no service')
    const base = { service: service.name, kind: service.kind, text: `${name} asks for ${Math.floor(random() * 1e6)}`, deadline: Date.now() + callMilliseconds }
    if (service.kind === 'model') return { ...base, operation: 'completions', tokens: 1 + Math.floor(random() * tokens), key: '' }
    const operations = [...service.nonIdempotent, idempotentOperation]
    const operation = operations[Math.floor(random() * operations.length)] ?? idempotentOperation
    return { ...base, operation, tokens: 0, key: operation === idempotentOperation ? '' : name.replaceAll(' ', '-') }
  }
}
