/**
 * Simulates organisations and kinds of requests that compete for batching engines, behind entries and agents that decide with
 * the modules of `src/core/dispatch`. Times in milliseconds from the start.
 */
import { admissionFor, completionIntervalMilliseconds } from '../../src/core/dispatch/admission.js'
import { chooseRetryAt } from '../../src/core/dispatch/caller-retry.js'
import { concurrencyLimit, enginesToAsk, placeRequest } from '../../src/core/dispatch/placement.js'
import { orderQueue, queueDeadline } from '../../src/core/dispatch/queueing.js'
import { ServiceRanks } from '../../src/core/dispatch/rank.js'
import { orderByPlace, ServiceOrder, type OrderedRequest } from '../../src/core/dispatch/service-order.js'
import { SlotLedger, type KeyedAnswer, type SlotAnswer } from '../../src/core/dispatch/slot-ledger.js'
import { SlotRequests, SlotSearch } from '../../src/core/dispatch/slot-requests.js'
import type { EngineFacts, Route } from '../../src/types/fleet.js'
import { seededRandom } from '../../src/utils/random.js'
import { replayRoute } from './engine-replay.js'
import { ReplayEngine, replayEngine, type SimulatedRequest } from './replay-engine.js'

/** Decisions in the order of service, those of a service that is not ranked, or one queue in the order of service that knows all engines at any time. */
export type ContentionMode = 'order' | 'basic' | 'single'

/** Load of a replay; `load` is a share of the engines' capacity. */
export interface ContentionLoad {
  readonly mode: ContentionMode
  readonly entries: number
  readonly load: number
  readonly seed: number
}

/** Requests, those that were served, and those of them within their goal. */
export interface Tally { asked: number, served: number, onTime: number }

/** What callers got, by whole, organisation, kind and the largest tenth of each kind's prompts. */
export interface ContentionOutcome {
  readonly all: Tally
  readonly organisations: readonly Tally[]
  readonly kinds: readonly Tally[]
  readonly largest: readonly Tally[]
  /** Messages between entries and agents. */
  readonly messages: number
}

/** Organisations: the first ask for most of the work; every other one has the less urgent priority. */
export const organisations = Array.from({ length: 24 }, (_, index) => ({ name: `organisation-${index}`, keys: [], regions: [], priority: index % 2, demand: index < 4 ? 6 : 0.8 }))
const kinds = [{ priority: 0, goal: 402, prompt: 1330, part: 0.33 }, { priority: 1, goal: 402, prompt: 827, part: 0.41 }, { priority: 2, goal: 802, prompt: 647, part: 0.26 }] as const
const routes: readonly Route[] = kinds.map(({ priority, goal }) => ({ ...replayRoute, name: `r-${priority}`, priority, latencyGoalMilliseconds: goal, targets: [{ service: 's', weight: 1 }] }))
const ranks = new ServiceRanks({ routes, organisations })
const facts: EngineFacts = { ...replayEngine, slots: 12, stepMilliseconds: 7.4, promptTokensPerSecond: 31_900, typicalPromptTokens: 940 }
const engineCount = 16
const [arrivalMilliseconds, warmUpMilliseconds, timeoutMilliseconds] = [5000, 1000, 6000] as const
/** Time that a message takes, and between two counts of an engine's requests and two checks of a queue. */
const [messageMilliseconds, countMilliseconds, pollMilliseconds, settleMilliseconds] = [2, 100, 20, 5] as const

interface ContendingRequest extends SimulatedRequest {
  readonly organisation: number
  readonly kind: number
  readonly order: OrderedRequest
  readonly tallies: readonly Tally[]
}

class ContendingEntry {
  readonly slots = new SlotRequests()
  readonly order = new ServiceOrder()
  queue: readonly ContendingRequest[] = []
}

/** Simulates a load; deterministic for its seed. */
export function replayContention (load: ContentionLoad): ContentionOutcome {
  return new ContentionReplay(load).run()
}

class ContentionReplay {
  /** Random numbers of the decisions; arrivals have their own, so that they are the same in every mode. */
  private readonly random: () => number
  private readonly arrivals: () => number
  private readonly engines = Array.from({ length: engineCount }, () => new ReplayEngine(facts))
  private readonly ledgers = this.engines.map(() => new SlotLedger())
  private readonly candidates = this.engines.map((_, index) => ({ id: String(index), isSameDataCentre: false, load: 0, freeSlots: 0, unstarted: 0, penalty: 0 }))
  private readonly entries: readonly ContendingEntry[]
  private readonly replies = new Map<string, (answer: SlotAnswer) => void>()
  private readonly due = new Map<number, (() => void)[]>()
  private readonly outcome = { all: tally(), organisations: organisations.map(tally), kinds: kinds.map(tally), largest: kinds.map(tally), messages: 0 }
  private now = 0
  private nextNumber = 0

  constructor (private readonly load: ContentionLoad) {
    this.random = seededRandom(load.seed + 1000)
    this.arrivals = seededRandom(load.seed)
    this.entries = Array.from({ length: load.mode === 'single' ? 1 : load.entries }, () => new ContendingEntry())
  }

  run (): ContentionOutcome {
    const perMillisecond = this.load.load * engineCount / completionIntervalMilliseconds(facts)
    let nextAt = 0
    for (; this.now < arrivalMilliseconds + timeoutMilliseconds; this.now += 1) {
      for (; nextAt <= this.now && nextAt < arrivalMilliseconds; nextAt -= Math.log(1 - this.arrivals()) / perMillisecond) this.arrive(this.createRequest())
      if (this.now % countMilliseconds === 0) this.engines.forEach(({ load }, index) => { this.ledgers[index]?.recordCount(load, this.now) })
      for (const run of this.due.get(this.now) ?? []) run()
      this.due.delete(this.now)
      if (this.now % settleMilliseconds === 0) for (const ledger of this.ledgers) this.reply(ledger.settle(this.now))
      if (this.load.mode === 'single' || this.now % pollMilliseconds === 0) for (const entry of this.entries) this.poll(entry)
      for (const engine of this.engines) for (const { request } of engine.advance(this.now).started) this.recordStarted(request as ContendingRequest)
    }
    return this.outcome
  }

  private createRequest (): ContendingRequest {
    const [organisation, kind] = [this.pick(organisations.map(({ demand }) => demand)), this.pick(kinds.map(({ part }) => part))]
    const [{ name, priority }, { prompt }, route] = [organisations[organisation] as { name: string, priority: number }, kinds[kind] as { prompt: number }, routes[kind] as Route]
    const size = this.arrivals()
    const [promptTokens, answerTokens, deadline] = [prompt * (0.3 + 1.4 * size), facts.typicalAnswerTokens * (0.3 + 1.4 * this.arrivals()), this.now + timeoutMilliseconds]
    const order = { rank: ranks.of('s', route, { priority }), organisation: name, share: 1, work: promptTokens + answerTokens, isRetry: false, deadline }
    const tallies = [this.outcome.all, this.outcome.organisations[organisation], this.outcome.kinds[kind], ...size > 0.9 ? [this.outcome.largest[kind]] : []] as Tally[]
    if (this.now >= warmUpMilliseconds) for (const counted of tallies) counted.asked += 1
    return { number: this.nextNumber++, isLate: false, arrivedAt: this.now, deadline, promptTokens, answerTokens, refusalDraw: 0, entry: this.pickEntry(organisation, this.arrivals), search: this.searchFor(order), until: 0, offeredAt: 0, isRetry: false, offeredFrom: 0, queuedAt: 0, organisation, kind, order, tallies: this.now >= warmUpMilliseconds ? tallies : [] }
  }

  private pick (weights: readonly number[]): number {
    let left = this.arrivals() * weights.reduce((sum, weight) => sum + weight, 0)
    return Math.max(0, weights.findIndex(weight => (left -= weight) < 0))
  }

  /** The callers of each organisation prefer some of the entries. */
  private pickEntry (organisation: number, random: () => number): number {
    return (Math.floor(random() ** 3 * this.entries.length) + organisation * 7) % this.entries.length
  }

  private searchFor (order: OrderedRequest): SlotSearch {
    return new SlotSearch(this.load.mode === 'basic' ? undefined : order)
  }

  private arrive (request: ContendingRequest): void {
    const entry = this.entries[request.entry] as ContendingEntry
    entry.order.recordAsked(request.order, this.now)
    const waiting = this.load.mode === 'single' ? 0 : entry.queue.filter(({ isLate, order }) => isLate === request.isLate && (this.load.mode === 'basic' || order.rank <= request.order.rank)).length
    const until = queueDeadline({ now: this.now, arrivedAt: request.arrivedAt, deadline: request.deadline, goalMilliseconds: kinds[request.kind]?.goal ?? 0, isLate: request.isLate, reason: 'full', expectedAt: undefined, waiting })
    if (until === undefined) this.refuse(request)
    else {
      entry.queue = [...entry.queue, { ...request, until }]
      this.poll(entry)
    }
  }

  private poll (entry: ContendingEntry): void {
    const { mode } = this.load
    const queued = mode === 'basic' ? orderQueue(entry.queue) : orderByPlace(entry.queue, ({ order }) => order, entry.order, this.now)
    for (const request of queued) {
      const isPlaced = this.place(request, entry)
      if (!isPlaced && this.now < request.until) continue
      entry.queue = entry.queue.filter(({ number }) => number !== request.number)
      if (isPlaced) entry.order.recordGranted(request.order, this.now)
      else this.refuse(request)
    }
  }

  private place (request: ContendingRequest, entry: ContendingEntry): boolean {
    const { mode } = this.load
    const route = routes[mode === 'single' ? 0 : request.kind] as Route
    const limit = concurrencyLimit(facts.slots, admissionFor({ route, engine: facts, isLate: request.isLate, isRanked: mode !== 'basic', waitMilliseconds: 0 }))
    const loadAt = (id: string): number => mode === 'single' ? this.engines[Number(id)]?.load ?? 0 : (entry.slots.heldAt(id, limit, this.now)?.load ?? Infinity) - 1
    const open = this.candidates.map(candidate => ({ ...candidate, load: loadAt(candidate.id) })).filter(({ load }) => load + 1 <= limit)
    const chosen = mode === 'single' ? open.sort((left, right) => left.load - right.load)[0] : placeRequest(open.map(candidate => ({ ...candidate, freeSlots: 1 })), this.random)
    if (chosen === undefined) {
      if (mode !== 'single' && entry.slots.mayAsk(request.search, this.now)) this.ask(request, entry, limit)
      return false
    }
    const held = entry.slots.heldAt(chosen.id, limit, this.now)
    if (held !== undefined) entry.slots.take(held)
    this.engines[Number(chosen.id)]?.add({ request, sentNumber: 0, promptTokensLeft: request.promptTokens, answerTokensLeft: request.answerTokens })
    return true
  }

  private ask ({ search, entry: entryIndex }: ContendingRequest, entry: ContendingEntry, limit: number): void {
    for (const { id } of enginesToAsk(this.candidates, engine => entry.slots.isFull(engine, this.now), this.random)) {
      const number = entry.slots.ask(search, id, this.now)
      const key = `${entryIndex} ${number}`
      this.replies.set(key, answer => {
        if (!entry.slots.receive(number, answer, this.now)) return
        this.poll(entry)
        for (const held of entry.queue.length === 0 ? entry.slots.releaseAll() : entry.slots.releaseRanked()) this.send(() => { this.ledgers[Number(held.upstreamId)]?.release(`${entryIndex} ${held.number}`, this.now) })
      })
      this.send(() => {
        const ledger = this.ledgers[Number(id)] as SlotLedger
        const answer = search.order === undefined ? ledger.answer(key, limit, this.now) : undefined
        this.reply(answer !== undefined ? [{ key, ...answer }] : search.order === undefined ? [] : ledger.compete(key, limit, this.now, search.order))
      })
    }
  }

  private reply (answers: readonly KeyedAnswer[]): void {
    for (const { key, ...answer } of answers) {
      this.send(() => {
        this.replies.get(key)?.(answer)
        this.replies.delete(key)
      })
    }
  }

  private send (arrive: () => void): void {
    this.outcome.messages += 1
    this.at(this.now + messageMilliseconds, arrive)
  }

  private at (time: number, run: () => void): void {
    const key = Math.max(this.now + 1, Math.ceil(time))
    this.due.set(key, [...this.due.get(key) ?? [], run])
  }

  private refuse (request: ContendingRequest): void {
    if (request.isLate) return
    const order = { ...request.order, isRetry: true }
    const retry = { ...request, isLate: true, entry: this.pickEntry(request.organisation, this.random), order, search: this.searchFor(order) }
    this.at(chooseRetryAt(this.now, request.deadline, undefined, this.random), () => { this.arrive(retry) })
  }

  private recordStarted ({ tallies, isLate, arrivedAt, kind }: ContendingRequest): void {
    const isOnTime = !isLate && this.now - arrivedAt <= (kinds[kind]?.goal ?? 0)
    for (const counted of tallies) {
      counted.served += 1
      if (isOnTime) counted.onTime += 1
    }
  }
}

function tally (): Tally {
  return { asked: 0, served: 0, onTime: 0 }
}
