/** Agent statuses on the wire: whole once, then only what changes often. */
import type { AgentStatus } from '../types/messages.js'

/** Fields that change with each request; everything else is sent again only when it changed. */
export interface AgentLoad {
  readonly limit: number
  readonly inFlight: number
  readonly waiting: number
}

/** A message of the `Watch` stream: one of the two is set. */
export interface StatusMessage {
  readonly status?: AgentStatus | null
  readonly load?: AgentLoad | null
}

/** Message that brings a watcher from the last status that it was sent to the next. */
export function encodeStatus (last: AgentStatus | undefined, next: AgentStatus): StatusMessage {
  if (last === undefined || !isEqualExceptLoad(last, next)) return { status: next }
  const { limit, inFlight, waiting } = next
  return { load: { limit, inFlight, waiting } }
}

/** Status after a message; undefined while no whole status has come. */
export function decodeStatus (last: AgentStatus | undefined, message: StatusMessage): AgentStatus | undefined {
  if (message.status !== undefined && message.status !== null) return message.status
  if (last === undefined || message.load === undefined || message.load === null) return last
  const { limit, inFlight, waiting } = message.load
  return { ...last, limit, inFlight, waiting }
}

/** Whether two statuses differ in their load only. */
export function isEqualExceptLoad (left: AgentStatus, right: AgentStatus): boolean {
  return withoutLoad(left) === withoutLoad(right)
}

function withoutLoad (status: AgentStatus): string {
  return JSON.stringify({ ...status, limit: 0, inFlight: 0, waiting: 0 })
}
