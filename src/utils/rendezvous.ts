/** Rendezvous hashing: the same order on every node that sees the same members. */
import { createHash } from 'node:crypto'

/** Members in the order in which they are responsible for `key`, the first most. */
export function rankMembers (key: string, members: readonly string[]): readonly string[] {
  return members
    .map(member => ({ member, weight: createHash('md5').update(`${key}\u0000${member}`).digest('hex') }))
    .sort((left, right) => compareText(right.weight, left.weight) || compareText(left.member, right.member))
    .map(ranked => ranked.member)
}

function compareText (left: string, right: string): number {
  if (left === right) return 0
  return left < right ? -1 : 1
}
