/** Retries: a budget per organisation, and times to come back that spread the callers. */
import { digestBytes } from '../utils/digest.js'

/** Upstreams that one request may be sent to at most. */
export const maximumAttempts = 3
const burstSeconds = 2
const milliTokensPerRetry = 1000
const retryJitterMilliseconds = 500
const hexadecimalDigits = 8
const hexadecimalRange = 2 ** 32

interface Bucket { readonly milliTokens: number, readonly at: number }

/** Token bucket for each organisation; the first attempt of a request costs nothing. */
export class RetryBudget {
  private readonly buckets = new Map<string, Bucket>()

  /** Takes one retry for an organisation at `now` (epoch milliseconds); false when the budget is spent. */
  take (organisation: string, retriesPerSecond: number, now: number): boolean {
    const most = retriesPerSecond * burstSeconds * milliTokensPerRetry
    const bucket = this.buckets.get(organisation) ?? { milliTokens: most, at: now }
    const refill = Math.max(0, now - bucket.at) * retriesPerSecond
    const milliTokens = Math.min(most, bucket.milliTokens + refill)
    const granted = milliTokens >= milliTokensPerRetry
    const left = granted ? milliTokens - milliTokensPerRetry : milliTokens
    this.buckets.set(organisation, { milliTokens: left, at: Math.max(now, bucket.at) })
    return granted
  }
}

/** A time after `earliest` (epoch milliseconds) that differs from request to request, so that callers do not return together. */
export function addRetryJitter (earliest: number, requestId: string): number {
  const part = Number.parseInt(digestBytes(requestId).slice(0, hexadecimalDigits), 16) / hexadecimalRange
  return earliest + Math.floor(part * retryJitterMilliseconds)
}

/** Smallest stated time to come back, `otherwise` when none was stated; epoch milliseconds. */
export function earliestRetry (stated: readonly number[], otherwise: number): number {
  const known = stated.filter(time => time > 0)
  return known.length === 0 ? otherwise : Math.min(...known)
}
