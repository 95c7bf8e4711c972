/** Encoding of agent statuses on a `Watch` stream: a complete status first, later only the load if nothing else changed. */
import type { AgentStatus } from '../types/messages.js'

/** The fields of a status that change with each request. */
export interface AgentLoad {
  readonly limit: number
  readonly inFlight: number
  readonly waiting: number
}

/** A message of the `Watch` stream; one of the two fields is set. */
export interface StatusMessage {
  readonly status?: AgentStatus | null
  readonly load?: AgentLoad | null
}

/** Encodes a status for a watcher to which `last` was sent before. */
export function encodeStatus (last: AgentStatus | undefined, next: AgentStatus): StatusMessage {
  if (last === undefined || !isEqualExceptLoad(last, next)) return { status: next }
  const { limit, inFlight, waiting } = next
  return { load: { limit, inFlight, waiting } }
}

/** Status after a message; undefined until a complete status was received. */
export function decodeStatus (last: AgentStatus | undefined, message: StatusMessage): AgentStatus | undefined {
  if (message.status !== undefined && message.status !== null) return message.status
  if (last === undefined || message.load === undefined || message.load === null) return last
  const { limit, inFlight, waiting } = message.load
  return { ...last, limit, inFlight, waiting }
}

/** Whether two statuses are equal, their load aside. */
export function isEqualExceptLoad (left: AgentStatus, right: AgentStatus): boolean {
  return withoutLoad(left) === withoutLoad(right)
}

function withoutLoad (status: AgentStatus): string {
  return JSON.stringify({ ...status, limit: 0, inFlight: 0, waiting: 0 })
}
