/** The agent as the relays use it, and the steps that the model relay and the plain relay share. */
import type { ServerResponse } from 'node:http'
import { createFailure, type Failure } from '../../errors.js'
import type { Metrics } from '../../plugins/metrics.js'
import type { Configuration } from '../../types/configuration.js'
import { headers } from '../../types/messages.js'
import type { Admission } from './admission.js'
import type { ClaimRegistry } from './claims.js'
import type { UpstreamConnections, VerifiedConnection } from './connections.js'
import type { OutcomeStore } from './outcomes.js'
import type { RunRequest } from './run-request.js'

const retryDelayMilliseconds = 500

/** The agent as the relays use it. */
export interface RelayHost {
  /** Base URL of the upstream. */
  readonly upstream: string
  readonly serviceName: string
  readonly configuration: Configuration | undefined
  /** Inactivity within an engine's answer after which its connection is closed, milliseconds. */
  readonly progressMilliseconds: number
  readonly admission: Admission
  readonly connections: UpstreamConnections
  readonly claims: ClaimRegistry
  readonly outcomes: OutcomeStore
  readonly metrics: Metrics
  /** Failure of a request for these weights that may not be accepted or sent now; undefined when it may. */
  refusal (weights: string): Failure | undefined
  /** Called when a connection broke while it carried the request with this fingerprint. */
  connectionLost (connection: VerifiedConnection, fingerprint: string): void
}

/** Failure of a request that may not run now, because of its deadline, the agent's state or other weights; undefined when it may. */
export function refusalOf (host: RelayHost, run: RunRequest): Failure | undefined {
  if (Date.now() >= run.deadline) return createFailure('late-deadline', Date.now() + retryDelayMilliseconds)
  return host.refusal(run.weights)
}

/** Headers of a request to the upstream. */
export function upstreamHeaders (run: RunRequest, body: Buffer): Readonly<Record<string, string | number>> {
  return {
    [headers.requestId]: run.id,
    [headers.deadline]: String(run.deadline),
    ...(run.idempotencyKey === '' ? {} : { [headers.idempotencyKey]: run.idempotencyKey }),
    ...(run.traceParent === '' ? {} : { [headers.traceParent]: run.traceParent }),
    'content-type': 'application/json',
    'content-length': body.length
  }
}

/** Signal that aborts when the entry's connection closes before the answer is complete. */
export function abortSignalOf (response: ServerResponse): AbortSignal {
  const controller = new AbortController()
  response.once('close', () => { if (!response.writableFinished) controller.abort() })
  return controller.signal
}

/** Acquires a connection and counts the request against the limit; a failure means that nothing was sent. */
export async function reserveConnection (host: RelayHost, admitted: Parameters<Admission['tryStart']>[0], run: RunRequest): Promise<VerifiedConnection | Failure> {
  const retryAt = Date.now() + retryDelayMilliseconds
  try {
    const connection = await host.connections.acquire(run.deadline)
    if (host.admission.tryStart(admitted, connection.incarnation)) return connection
    host.connections.release(connection)
    return createFailure('busy', retryAt)
  } catch {
    return createFailure('upstream-refused', retryAt)
  }
}

/** Checks a request again just before its first byte is sent; a failure means that nothing was sent. */
export function refusalBeforeSend (host: RelayHost, run: RunRequest, connection: VerifiedConnection): Failure | undefined {
  const refusal = refusalOf(host, run)
  if (refusal !== undefined) return refusal
  if (host.connections.isUsable(connection) && host.admission.isWithinLimit) return undefined
  return createFailure('upstream-refused', Date.now() + retryDelayMilliseconds)
}
