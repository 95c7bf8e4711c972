/** Retries: a budget for each organisation, and jitter on the retry times that callers get. */
import { digestBytes } from '../utils/digest.js'

/** Maximum number of upstreams that one request is sent to. */
export const maximumAttempts = 3
/** Seconds of the retry rate that the budget can save up. */
const burstSeconds = 2
const milliTokensPerRetry = 1000
/** Range of the jitter on a retry time. */
const retryJitterMilliseconds = 500
const hexadecimalDigits = 8
const hexadecimalRange = 2 ** 32

interface Bucket { readonly milliTokens: number, readonly at: number }

/** Token bucket for each organisation; only retries take tokens, first attempts do not. */
export class RetryBudget {
  private readonly buckets = new Map<string, Bucket>()

  /** Takes one retry at `now` (epoch milliseconds); false when the budget is exhausted. */
  take (organisation: string, retriesPerSecond: number, now: number): boolean {
    const capacity = retriesPerSecond * burstSeconds * milliTokensPerRetry
    const bucket = this.buckets.get(organisation) ?? { milliTokens: capacity, at: now }
    const refill = Math.max(0, now - bucket.at) * retriesPerSecond
    const milliTokens = Math.min(capacity, bucket.milliTokens + refill)
    const isGranted = milliTokens >= milliTokensPerRetry
    const remaining = isGranted ? milliTokens - milliTokensPerRetry : milliTokens
    this.buckets.set(organisation, { milliTokens: remaining, at: Math.max(now, bucket.at) })
    return isGranted
  }
}

/** Retry time from `earliest` on (epoch milliseconds), with a jitter derived from the request id, so that callers do not retry all at once. */
export function addRetryJitter (earliest: number, requestId: string): number {
  const fraction = Number.parseInt(digestBytes(requestId).slice(0, hexadecimalDigits), 16) / hexadecimalRange
  return earliest + Math.floor(fraction * retryJitterMilliseconds)
}

/** Earliest of the reported retry times, where 0 means none; `fallback` without any. Epoch milliseconds. */
export function earliestRetry (reported: readonly number[], fallback: number): number {
  const known = reported.filter(time => time > 0)
  return known.length === 0 ? fallback : Math.min(...known)
}
