/** Rendezvous hashing: nodes that know the same members compute the same ranking without coordination. */
import { createHash } from 'node:crypto'

/** Members ranked by their responsibility for `key`, the most responsible first. */
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
