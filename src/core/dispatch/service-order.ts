/**
 * Order of requests that compete for the same upstreams: those below their guaranteed minimum, then the rank, then the
 * use of each organisation by its share (weighted fair queueing by work), then requests that were refused before, then the
 * earliest deadline. Load pattern: arrivals above capacity, most of them of a few organisations or of the least urgent kind.
 */
import { lowestRank } from './rank.js'

/** What orders a request among others; times in milliseconds of the monotonic clock. */
export interface OrderedRequest {
  /** 0 for the most urgent. */
  readonly rank: number
  /** Name of the organisation; empty for none. */
  readonly organisation: string
  /** Share of the organisation, above 0. */
  readonly share: number
  /** Tokens of prompt and answer. */
  readonly work: number
  /** Whether it was refused before. */
  readonly isRetry: boolean
  readonly deadline: number
}

/** Place of a request in the order at one moment. */
export interface OrderPlace {
  /** Whether its organisation or its rank is served less than its guaranteed minimum. */
  readonly isOwed?: boolean
  readonly rank: number
  /** Use of its organisation divided by its share. */
  readonly usage: number
  readonly isRetry?: boolean
  readonly deadline?: number
}

/** Asks, grants and granted work of one organisation or rank. */
interface Account {
  readonly asked: DecayingSum
  readonly granted: DecayingSum
  readonly work: DecayingSum
  share: number
  /** Whether it was below its guaranteed minimum when that was last checked. */
  isOwed: boolean
}

/** Use of one organisation, for operators. */
export interface OrganisationUse {
  readonly organisation: string
  readonly share: number
  /** Work that was granted lately, tokens. */
  readonly work: number
  /** Part of its asks that was granted lately. */
  readonly success: number
}

/** Time constant with which grants and asks are forgotten, milliseconds: after a failure shares are back within two of them. */
const memoryMilliseconds = 1000
/** Part of the success of organisations within their share below which an organisation is owed service; each must get half. */
const organisationMinimum = 0.65
/** Part of the success of all requests below which a rank is owed service; each must get a quarter. */
const rankMinimum = 0.35
/** Asks from which on a success is compared: fewer say little. */
const minimumAsks = 3
/** Organisations whose use is kept; further ones share one account. */
const maximumOrganisations = 1024
/** Account of organisations beyond the maximum, and of requests without an organisation. */
const otherOrganisations = ''
/** Sums below this are as good as forgotten. */
const forgottenAsks = 0.01
/** Time between two checks of the minimums, milliseconds: each looks at all accounts. */
const checkMilliseconds = 50

/** Sum that decays with `memoryMilliseconds`. */
class DecayingSum {
  private sum = 0
  private at = 0

  add (amount: number, now: number): void {
    this.sum = Math.max(0, this.value(now) + amount)
    this.at = now
  }

  value (now: number): number {
    return this.sum === 0 ? 0 : this.sum * Math.exp((this.at - now) / memoryMilliseconds)
  }
}

/** Compares two places; negative if `left` goes first. */
export function compareOrder (left: OrderPlace, right: OrderPlace): number {
  return Number(right.isOwed ?? false) - Number(left.isOwed ?? false) ||
    left.rank - right.rank ||
    left.usage - right.usage ||
    Number(right.isRetry ?? false) - Number(left.isRetry ?? false) ||
    (left.deadline ?? 0) - (right.deadline ?? 0)
}

/** Items in the order of their requests; those without one go last, as they are. */
export function orderByPlace<Item> (items: readonly Item[], requestOf: (item: Item) => OrderedRequest | undefined, order: ServiceOrder, now: number): readonly Item[] {
  const placed = items.map(item => ({ item, place: placeIn(order, requestOf(item), now) }))
  return placed.sort((left, right) => compareOrder(left.place, right.place)).map(({ item }) => item)
}

function placeIn (order: ServiceOrder, request: OrderedRequest | undefined, now: number): OrderPlace {
  return request === undefined ? { rank: lowestRank + 1, usage: 0 } : order.placeOf(request, now)
}

/** What one node has granted lately, and the order that follows; times in milliseconds of the monotonic clock. */
export class ServiceOrder {
  private readonly organisations = new Map<string, Account>()
  private readonly ranks: readonly Account[] = Array.from({ length: lowestRank + 1 }, createAccount)
  private checkAt = -Infinity

  /** Records that a request asks for service; each time counts. */
  recordAsked (request: OrderedRequest, now: number): void {
    const account = this.accountOf(request.organisation, now)
    account.share = request.share
    account.asked.add(1, now)
    this.ranks[request.rank]?.asked.add(1, now)
  }

  /** Records that a request was granted service, or with a count of -1 that it did not use it. */
  recordGranted (request: OrderedRequest, now: number, count: 1 | -1 = 1): void {
    for (const account of [this.accountOf(request.organisation, now), this.ranks[request.rank]]) {
      account?.granted.add(count, now)
      account?.work.add(count * request.work, now)
    }
  }

  /** Place of a request among others now. */
  placeOf (request: OrderedRequest, now: number): OrderPlace {
    this.checkMinimums(now)
    const account = this.organisations.get(this.keyOf(request.organisation))
    const isOwed = account?.isOwed === true || this.ranks[request.rank]?.isOwed === true
    return { isOwed, rank: request.rank, usage: account === undefined ? 0 : usageOf(account, now), isRetry: request.isRetry, deadline: request.deadline }
  }

  /** Use of each organisation lately. */
  uses (now: number): readonly OrganisationUse[] {
    return [...this.organisations].map(([organisation, account]) => ({ organisation, share: account.share, work: account.work.value(now), success: successOf(account, now) }))
  }

  /** Compares the success of each organisation with that of those within their share, and the success of each rank with that of all. */
  private checkMinimums (now: number): void {
    if (now < this.checkAt) return
    this.checkAt = now + checkMilliseconds
    const accounts = [...this.organisations.values()].filter(({ asked }) => asked.value(now) >= minimumAsks)
    const meanUsage = accounts.reduce((sum, account) => sum + usageOf(account, now), 0) / Math.max(1, accounts.length)
    const withinShare = accounts.filter(account => usageOf(account, now) <= meanUsage)
    const organisationSuccess = successOfAll(withinShare, now) * organisationMinimum
    const rankSuccess = successOfAll(this.ranks, now) * rankMinimum
    for (const account of this.organisations.values()) account.isOwed = isBelow(account, organisationSuccess, now)
    for (const account of this.ranks) account.isOwed = isBelow(account, rankSuccess, now)
  }

  private accountOf (organisation: string, now: number): Account {
    const key = this.keyOf(organisation)
    const known = this.organisations.get(key)
    if (known !== undefined) return known
    for (const [name, { asked, work }] of this.organisations) {
      if (asked.value(now) < forgottenAsks && work.value(now) < 1) this.organisations.delete(name)
    }
    const created = createAccount()
    this.organisations.set(key, created)
    return created
  }

  private keyOf (organisation: string): string {
    return this.organisations.has(organisation) || this.organisations.size < maximumOrganisations ? organisation : otherOrganisations
  }
}

function createAccount (): Account {
  return { asked: new DecayingSum(), granted: new DecayingSum(), work: new DecayingSum(), share: 1, isOwed: false }
}

function usageOf ({ work, share }: Account, now: number): number {
  return work.value(now) / share
}

function successOf ({ asked, granted }: Account, now: number): number {
  return granted.value(now) / Math.max(forgottenAsks, asked.value(now))
}

function successOfAll (accounts: readonly Account[], now: number): number {
  const sum = (of: 'asked' | 'granted'): number => accounts.reduce((total, account) => total + account[of].value(now), 0)
  return sum('granted') / Math.max(forgottenAsks, sum('asked'))
}

/** Whether an account that asks often enough succeeds less often than `minimum`. */
function isBelow (account: Account, minimum: number, now: number): boolean {
  return account.asked.value(now) >= minimumAsks && successOf(account, now) < minimum
}
