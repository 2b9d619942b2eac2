package org.daisyscale.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "org.daisyscale.core", importOptions = ImportOption.DoNotIncludeTests.class)
class CoreShapeTest {

    @ArchTest
    void shouldPerformNoInputOrOutput(JavaClasses classes) {
        ArchRule rule = noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.io", "java.nio", "java.nio.channels..", "java.nio.file..", "java.net..")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread");

        rule.check(classes);
    }

    @ArchTest
    void shouldReadNoClock(JavaClasses classes) {
        ArchRule rule = noClasses()
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.time.Clock");

        rule.check(classes);
    }

    @ArchTest
    void shouldLogNothingAndStartNoThread(JavaClasses classes) {
        ArchRule rule = noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.tinylog..", "org.slf4j..", "java.util.logging..", "java.util.concurrent..");

        rule.check(classes);
    }

    @ArchTest
    void shouldDependOnNoOtherModule(JavaClasses classes) {
        ArchRule rule = noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.daisyscale.codec..",
                        "org.daisyscale.router..",
                        "org.daisyscale.cli..",
                        "org.daisyscale.testkit..");

        rule.check(classes);
    }
}
