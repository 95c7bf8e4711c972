/** Reads and validates requests from entries. */
import type { IncomingMessage } from 'node:http'
import { claimKey } from '../../core/claims.js'
import { createFailure, type Failure } from '../../errors.js'
import { headerOf, readBody } from '../../transports/http-server.js'
import { priorities, type Configuration, type Service } from '../../types/configuration.js'
import { headers } from '../../types/messages.js'
import { digestBytes } from '../../utils/digest.js'
import type { AdmissionRequest } from './admission.js'

const maximumBodyBytes = 4 << 20
const retryDelayMilliseconds = 500
const operationPattern = /^[a-z0-9][a-z0-9-]{0,62}$/

/** A validated request. */
export interface RunRequest {
  readonly id: string
  readonly operation: string
  readonly organisation: string
  /** Epoch milliseconds. */
  readonly deadline: number
  /** Manifest digest that the entry chose, empty for a plain service. */
  readonly weights: string
  readonly body: Buffer
  readonly idempotencyKey: string
  /** Key in the claims stream, empty for an idempotent request. */
  readonly claimKey: string
  /** SHA-256 of the body. */
  readonly content: string
  readonly traceParent: string
  readonly admissionRequest: AdmissionRequest
}

/** Reads and validates a request; a failure means that it did not run. */
export async function readRunRequest (request: IncomingMessage, operation: string, serviceName: string, configuration: Configuration | undefined): Promise<RunRequest | Failure> {
  const body = await readBody(request, maximumBodyBytes)
  if (body === undefined) return createFailure('too-large')
  if (configuration === undefined) return createFailure('no-configuration', Date.now() + retryDelayMilliseconds)
  const id = headerOf(request, headers.requestId)
  const deadline = Number(headerOf(request, headers.deadline))
  const service = configuration.services[serviceName]
  if (id === '' || id.length > 64 || !Number.isFinite(deadline) || deadline <= 0 || !operationPattern.test(operation)) return createFailure('malformed')
  if (service === undefined) return createFailure('unknown-service')
  const organisation = headerOf(request, headers.organisation)
  const idempotencyKey = headerOf(request, headers.idempotencyKey)
  const needsClaim = isNonIdempotent(service, operation)
  if (needsClaim && idempotencyKey === '') return createFailure('malformed')
  return {
    id,
    operation,
    organisation,
    deadline,
    weights: headerOf(request, headers.weights),
    body,
    idempotencyKey,
    claimKey: needsClaim ? claimKey(organisation, serviceName, operation, idempotencyKey) : '',
    content: digestBytes(body),
    traceParent: headerOf(request, headers.traceParent),
    admissionRequest: admissionRequestOf(request, id, organisation, deadline, configuration)
  }
}

/** Whether reading a request gave a failure. */
export function isFailure (value: RunRequest | Failure): value is Failure {
  return 'tag' in value
}

function isNonIdempotent (service: Service, operation: string): boolean {
  return service.kind === 'plain' && service.nonIdempotent.includes(operation)
}

function admissionRequestOf (request: IncomingMessage, id: string, organisation: string, deadline: number, configuration: Configuration): AdmissionRequest {
  const settings = configuration.organisations[organisation]
  const namedRank = priorities.findIndex(priority => priority === headerOf(request, headers.priority))
  const rank = namedRank === -1 ? priorities.indexOf(settings?.priority ?? 'normal') : namedRank
  const fingerprint = headerOf(request, headers.fingerprint)
  return { id, organisation, deadline, rank, share: settings?.share ?? 1, fingerprint, isExclusive: headerOf(request, headers.suspect) !== '' }
}
