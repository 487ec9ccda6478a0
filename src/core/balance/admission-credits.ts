/** Admits a fraction of each kind's requests, spread evenly over arrivals by a credit counter per level. */
export class AdmissionCredits {
  #credits = new Map<number, number>()

  /** Adds `share`, from 0 to 1, to the credit of a level; consumes one credit and returns true if the request can be admitted. */
  tryConsume (level: number, share: number): boolean {
    const credit = (this.#credits.get(level) ?? 1) + share
    const isAdmitted = credit >= 1
    this.#credits.set(level, Math.min(1, isAdmitted ? credit - 1 : credit))
    return isAdmitted
  }
}
