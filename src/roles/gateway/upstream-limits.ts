/** The limits that upstreams name, as one entry keeps them. */
import { NamedLimits } from '../../core/dispatch/named-limits.js'
import type { Upstream } from '../../types/fleet.js'
import type { AnswerHead } from '../../types/ports.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'

const log = logFor('limits')

/** Time between two log lines about invalid limits of one upstream, milliseconds. */
const invalidLogMilliseconds = 10_000

/** Limits of all upstreams of one entry. */
export class UpstreamLimits {
  private readonly named = new NamedLimits()
  /** When the next invalid limit of an upstream is logged, milliseconds of the monotonic clock. */
  private readonly nextInvalidLogAt = new Map<string, number>()

  /** Applies the head of an answer to a request that was sent at `sentAt`, milliseconds of the monotonic clock. A limit that cannot be read changes nothing. */
  observe ({ id, startedAt }: Upstream, { limit }: AnswerHead, sentAt: number): void {
    const now = monotonicNow()
    if (limit.kind === 'invalid') {
      this.logInvalid(id, limit.text, now)
      return
    }
    const perSecond = limit.kind === 'limit' ? limit.perSecond : undefined
    const previous = this.named.describe(id, startedAt, now)?.perSecond
    if (this.named.observe(id, { startedAt, perSecond, sentAt, now })) logChange(id, perSecond, previous, 'answer')
  }

  /** Requests a second that an upstream takes from all entries together; undefined for any number. */
  perSecond ({ id, startedAt }: Upstream): number | undefined {
    return this.named.describe(id, startedAt, monotonicNow())?.perSecond
  }

  /** Deletes the limit of an upstream that was removed. */
  forget (id: string): void {
    this.named.forget(id)
    this.nextInvalidLogAt.delete(id)
  }

  private logInvalid (upstream: string, text: string, now: number): void {
    if (now < (this.nextInvalidLogAt.get(upstream) ?? 0)) return
    this.nextInvalidLogAt.set(upstream, now + invalidLogMilliseconds)
    log.warn('upstream names a limit that cannot be read; the limit known so far stays', { upstream, limit: text })
  }
}

/** Logs a new limit; -1 stands for none. */
function logChange (upstream: string, perSecond: number | undefined, previous: number | undefined, source: string): void {
  log.info('upstream limit changed', { upstream, perSecond: perSecond ?? -1, previousPerSecond: previous ?? -1, source })
}
