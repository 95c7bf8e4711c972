/** Subscriptions of one entry to the load reports of agents; they also tell the agents what to roll out. */
import { subscriptionRenewalMilliseconds } from '../../core/fleet/report-schedule.js'
import { areSameFacts } from '../../core/weights/rollout-facts.js'
import type { RolloutFacts, Upstream, VouchedLoad } from '../../types/fleet.js'
import type { GossipedWeights, Subscription } from '../../types/node-messages.js'
import { monotonicNow } from '../../utils/clock.js'
import type { FleetState } from './fleet-state.js'

/** One in this many renewals lists the other agents of the service, and another one carries the facts; both change seldom. */
const renewalsPerList = 4
/** Position of the renewal that carries the facts: not the one with the list of agents, which fills a packet by itself. */
const factsRenewal = 2
/** Shortest time between two announcements of changes, milliseconds; changes within it are announced together. */
const announcementIntervalMilliseconds = 100

/** What subscriptions read, and how they are sent. */
export interface SubscriptionContext {
  readonly dataCentre: string
  readonly state: Pick<FleetState, 'weights' | 'rolloutFacts'>
  /** Living entries, which all subscribe. */
  entryCount (): number
  /** Listed upstreams that are engines. */
  engines (): readonly Upstream[]
  /** The last load for which the agent at an IP vouched; undefined for none. */
  vouchedAt (ip: string): VouchedLoad | undefined
  send (message: Subscription, ip: string): void
}

/** What a subscription contains besides the named weights. */
interface Content {
  readonly hasAgents: boolean
  readonly hasFacts: boolean
}

/** What an agent was told last. */
interface Told {
  readonly facts: RolloutFacts | undefined
  readonly weights: string
}

/** Sends the subscriptions of one entry. */
export class AgentSubscriptions {
  /** Milliseconds of the monotonic clock. */
  private nextRenewalAt = 0
  private nextAnnouncementAt = 0
  private announcementTimer: NodeJS.Timeout | undefined
  /** Starts at a random value, since entries that start together would list agents at the same times. */
  private renewals = Math.floor(Math.random() * renewalsPerList)
  /** What the agent of each listed engine was told; a restarted engine counts as another one. */
  private told: ReadonlyMap<string, Told> = new Map()

  constructor (private readonly context: SubscriptionContext) {}

  /** Renews the subscriptions when they are due; agents that lack something are told in any case. Called in each round of gossip. */
  renew (): void {
    const now = monotonicNow()
    if (now < this.nextRenewalAt) {
      this.subscribe(undefined)
      return
    }
    this.nextRenewalAt = now + subscriptionRenewalMilliseconds(this.context.entryCount())
    this.renewals = (this.renewals + 1) % renewalsPerList
    this.subscribe({ hasAgents: this.renewals === 0, hasFacts: this.renewals === factsRenewal })
  }

  /** Tells agents of changed weights and facts: at once, or together with later changes when the last announcement is recent. */
  announceChanges (): void {
    this.announcementTimer ??= setTimeout(() => {
      this.announcementTimer = undefined
      // A timer may fire a little early.
      if (monotonicNow() < this.nextAnnouncementAt) {
        this.announceChanges()
        return
      }
      const count = this.subscribe(undefined)
      if (count > 0) this.nextAnnouncementAt = monotonicNow() + announcementIntervalMilliseconds
    }, Math.max(0, this.nextAnnouncementAt - monotonicNow()))
  }

  /** Subscribes at an agent of a service that no entry has subscribed to, as its engine may not be listed yet; not before the first configuration. */
  answerIntroduction (service: string, ip: string): void {
    const { dataCentre, state, engines, vouchedAt, send } = this.context
    const facts = state.rolloutFacts(service)
    if (facts === undefined) return
    send({ kind: 'subscription', dataCentre, service, weights: state.weights, agents: agentsOf(service, engines()), rollout: facts, vouched: vouchedAt(ip) }, ip)
  }

  stop (): void {
    clearTimeout(this.announcementTimer)
  }

  /** Subscribes with `due` at all agents, or, if nothing is due, at those that lack something; returns the number of messages. */
  private subscribe (due: Content | undefined): number {
    const { dataCentre, state, vouchedAt, send } = this.context
    const engines = this.context.engines()
    const weights = state.weights
    const weightsText = textOf(weights)
    const told = new Map<string, Told>()
    let count = 0
    for (const engine of engines) {
      const key = `${engine.id} ${engine.address} ${engine.startedAt}`
      const known = this.told.get(key)
      const facts = state.rolloutFacts(engine.service)
      const content = contentFor(due, known, { facts, weights: weightsText })
      if (known !== undefined) told.set(key, known)
      if (content === undefined) continue
      told.set(key, { facts: content.hasFacts ? facts : known?.facts, weights: weightsText })
      const agents = content.hasAgents ? agentsOf(engine.service, engines.filter(({ id }) => id !== engine.id)) : []
      const ip = ipOf(engine.address)
      send({ kind: 'subscription', dataCentre, service: engine.service, weights, agents, rollout: content.hasFacts ? facts : undefined, vouched: vouchedAt(ip) }, ip)
      count += 1
    }
    this.told = told
    return count
  }
}

/** What to send to an agent that was told `told`; undefined for nothing. */
function contentFor (due: Content | undefined, told: Told | undefined, current: Told): Content | undefined {
  if (told === undefined) return { hasAgents: true, hasFacts: true }
  const lacksFacts = !areSameFacts(told.facts, current.facts)
  if (due === undefined && !lacksFacts && told.weights === current.weights) return undefined
  return { hasAgents: due?.hasAgents === true, hasFacts: lacksFacts || due?.hasFacts === true }
}

function agentsOf (name: string, engines: readonly Upstream[]): Subscription['agents'] {
  return engines
    .filter(({ service }) => service === name)
    .map(({ dataCentre, address }) => [dataCentre, ipOf(address)])
}

/** Names of the weights without their ages, to detect changes. */
function textOf (weights: readonly GossipedWeights[]): string {
  return weights.map(({ model, version }) => `${model} ${version}`).join()
}

function ipOf (address: string): string {
  return address.split(':')[0] ?? address
}
