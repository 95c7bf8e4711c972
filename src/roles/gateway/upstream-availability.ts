/** Decides whether this entry may send a request to an upstream now, as far as the upstream itself, its record and operators say so. */
import { allowsRequest, askForRest, isResting, recordSentAfterRest, recordTaken, type Rest } from '../../core/dispatch/upstream-rest.js'
import type { GossipedLeaving } from '../../types/node-messages.js'
import type { Upstream } from '../../types/fleet.js'
import type { AnswerHead } from '../../types/ports.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { UpstreamView } from './upstream-view.js'

const log = logFor('instances')

/** Time between two log lines about invalid rests of one upstream, milliseconds. */
const invalidLogMilliseconds = 10_000
/** Upstreams in one gossip message, so that it stays within a packet. */
const maximumGossiped = 16

/** What one incarnation of an upstream said of itself. */
interface Statement {
  /** Start of the incarnation, epoch milliseconds. */
  readonly startedAt: number
  readonly rest: Rest | undefined
  readonly isLeaving: boolean
}

/** Statements of all upstreams of one entry; times are milliseconds of the monotonic clock. */
export class UpstreamAvailability {
  private readonly statements = new Map<string, Statement>()
  /** When the next invalid rest of an upstream is logged. */
  private readonly nextInvalidLogAt = new Map<string, number>()

  constructor (private readonly isEvacuated: (dataCentre: string) => boolean) {}

  /** Whether an upstream gets no more requests: it leaves, its record was removed, or its data centre is evacuated. */
  isWithdrawn ({ upstream, retainedUntil }: UpstreamView): boolean {
    if (upstream.isDraining || this.statementOf(upstream)?.isLeaving === true) return true
    return (retainedUntil !== undefined && retainedUntil <= monotonicNow()) || this.isEvacuated(upstream.dataCentre)
  }

  /** Whether an upstream has asked this entry for a rest that has not ended. */
  isResting (upstream: Upstream): boolean {
    return isResting(this.statementOf(upstream)?.rest, monotonicNow())
  }

  /** Whether a rest of an upstream, or its end, leaves room for a request now. */
  allowsRequest ({ upstream, unstarted }: UpstreamView): boolean {
    return allowsRequest(this.statementOf(upstream)?.rest, unstarted, monotonicNow())
  }

  /** End of the rest of an upstream; undefined for none. */
  restEnd (upstream: Upstream): number | undefined {
    return this.isResting(upstream) ? this.statementOf(upstream)?.rest?.until : undefined
  }

  /** Applies the head of an answer to a request that was sent at `sentAt` to this incarnation. */
  observe (upstream: Upstream, head: AnswerHead, sentAt: number): void {
    const now = monotonicNow()
    const known = this.statementOf(upstream)
    const isLeaving = known?.isLeaving === true || head.isLeaving
    if (head.isLeaving && known?.isLeaving !== true) log.info('upstream says that it leaves; it gets no more requests', { upstream: upstream.id, status: head.status })
    const rest = this.restAfter(upstream, known?.rest, head, sentAt, now)
    if (rest === undefined && !isLeaving) this.statements.delete(upstream.id)
    else this.statements.set(upstream.id, { startedAt: upstream.startedAt, rest, isLeaving })
  }

  /** Applies whether the record of an upstream says that it leaves, so that gossip tells entries that have not read it; returns whether that is new. */
  observeRecord (upstream: Upstream, wasDraining: boolean): boolean {
    const known = this.statementOf(upstream)
    const isNew = upstream.isDraining && known?.isLeaving !== true
    if (isNew) this.statements.set(upstream.id, { startedAt: upstream.startedAt, rest: known?.rest, isLeaving: true })
    else if (!upstream.isDraining && wasDraining && known !== undefined) this.statements.set(upstream.id, { ...known, isLeaving: false })
    return isNew
  }

  /** Records that a request is sent. */
  recordSent (upstream: Upstream): void {
    const known = this.statementOf(upstream)
    if (known !== undefined) this.statements.set(upstream.id, { ...known, rest: recordSentAfterRest(known.rest, monotonicNow()) })
  }

  /** Upstreams that leave, for one gossip message. */
  gossip (): readonly GossipedLeaving[] {
    return [...this.statements].flatMap(([upstreamId, { startedAt, isLeaving }]) => isLeaving ? [{ upstreamId, startedAt }] : []).slice(-maximumGossiped)
  }

  /** Applies which upstreams leave, as another entry has heard; `find` gives those that are listed here, and other incarnations are ignored. */
  merge (leaving: readonly GossipedLeaving[], find: (id: string) => UpstreamView | undefined, source: string): void {
    for (const { upstreamId, startedAt } of leaving) {
      const upstream = find(upstreamId)?.upstream
      if (upstream?.startedAt !== startedAt || this.statementOf(upstream)?.isLeaving === true) continue
      log.info('another entry knows that an upstream leaves; it gets no more requests', { upstream: upstreamId, source })
      this.statements.set(upstreamId, { startedAt, rest: this.statementOf(upstream)?.rest, isLeaving: true })
    }
  }

  /** Deletes what an upstream said that was removed. */
  forget (id: string): void {
    this.statements.delete(id)
    this.nextInvalidLogAt.delete(id)
  }

  /** What the current incarnation said. */
  private statementOf ({ id, startedAt }: Upstream): Statement | undefined {
    const statement = this.statements.get(id)
    return statement?.startedAt === startedAt ? statement : undefined
  }

  private restAfter ({ id }: Upstream, known: Rest | undefined, { rest, status }: AnswerHead, sentAt: number, now: number): Rest | undefined {
    if (rest.kind === 'none') return status === 503 ? known : recordTaken(known, sentAt, now)
    if (rest.kind === 'invalid') {
      this.logInvalid(id, rest.text, now)
      return known
    }
    if (!isResting(known, now)) log.info('upstream asks for rest; it gets no requests of this entry meanwhile', { upstream: id, milliseconds: rest.milliseconds })
    return askForRest(known, now + rest.milliseconds)
  }

  private logInvalid (upstream: string, text: string, now: number): void {
    if (now < (this.nextInvalidLogAt.get(upstream) ?? 0)) return
    this.nextInvalidLogAt.set(upstream, now + invalidLogMilliseconds)
    log.warn('upstream asks for a rest of a length that cannot be read; it is ignored', { upstream, retryAfter: text })
  }
}
